// Package client is the operators' side of OperatorService: it sends declarations, queries
// and commands to any daemon and prints the answers. It owns no state; change ids are made
// here, so that the outcome of a change can be asked for after a lost answer.
package client
