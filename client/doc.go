// Package client is the operators' command line client of OperatorService: it sends declarations,
// queries and commands to any daemon and prints the responses. It keeps no state. It generates the
// change ids, so that an operator can query the outcome of a change after a lost response.
package client
