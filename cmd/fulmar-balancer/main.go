// Fulmar-balancer is the balancer daemon.
package main

import (
	"os"

	"github.com/fulmarfield/fulmarfield/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:]))
}
