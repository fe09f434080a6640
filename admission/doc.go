// Package admission decides for the opening packets of one daemon whether their flows are placed now, wait until a
// request in progress ends, or are refused. It performs no I/O and reads no clock. The counts of requests in progress
// belong to package workload; a Controller owns the queue of waiting packets and what it learned from response times.
package admission
