// Package query implements the queries of the operators' language, which never change anything. It
// parses one line and evaluates it against a configuration and the daemons' statuses. It keeps no
// state.
package query
