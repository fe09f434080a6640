// Package query is the part of the operators' language that asks and never changes anything.
// It parses one line and evaluates it over a configuration and the daemons' statuses. It owns
// no state.
package query
