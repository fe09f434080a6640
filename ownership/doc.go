// Package ownership decides which daemon holds which resource, and moves resources between
// daemons by claims and offers. It manages the state of each resource on this daemon; the records
// of a resource belong to its ResourceHandler.
package ownership
