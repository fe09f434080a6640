// Package command is the part of the operators' language that changes the configuration. It
// parses one line into a Command and turns it into an edit that a commit applies. It owns no
// state and never asks; queries are in package query.
package command
