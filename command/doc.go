// Package command implements the commands of the operators' language, which change the
// configuration. It parses one line into a Command, whose Edit a commit applies. It keeps no state.
// Queries are in package query.
package command
