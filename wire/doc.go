// Package wire implements the datagram formats of fulmarfield and the sockets that carry them: the
// data packet that callers, daemons and upstreams exchange, the authenticated envelope between
// daemons, the compact encodings of flow and request records, and the UDP connection.
//
// Apart from the sockets, the package keeps no state; package peer holds a replay window for each peer.
// Package wire depends on no other package of the project except the generated protobuf code.
package wire
