// Package outlier decides which upstreams new flows avoid because they answer much more slowly than the
// other upstreams of their service, or do not answer at all. The evidence is the response times that
// this daemon derives from callers' packets and the reports of other daemons. A Detector owns the
// evidence, performs no I/O and must be used by one goroutine only.
//
// Response times are compared with those of the same route at the same time. If a whole service is
// overloaded, its typical response time rises and none of its upstreams is an outlier.
package outlier
