// Package wire holds the datagram formats of fulmarfield: the data packet that callers,
// daemons and upstreams exchange, and the authenticated envelope between daemons.
//
// The package owns no state but the replay windows of peers. It calls no other package of
// the project except the generated protobuf code.
package wire
