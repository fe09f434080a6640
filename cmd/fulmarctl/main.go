// Fulmarctl is the command-line client of operators.
package main

import (
	"os"

	"github.com/fulmarfield/fulmarfield/client"
)

func main() {
	os.Exit(client.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
