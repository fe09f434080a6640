// Package check finds mistakes in a configuration before operators send it, and states what differs from the
// one in force. It has no input or output, and gets the names of fields from the translator that reads the file.
package check
