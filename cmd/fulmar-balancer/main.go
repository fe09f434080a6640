// Fulmar-balancer is the balancer daemon. With the argument in-band it steers the packets of callers that
// echo a token. Otherwise it uses the project's own packet protocol.
package main

import (
	"os"

	"github.com/fulmarfield/fulmarfield/daemon"
	"github.com/fulmarfield/fulmarfield/edge"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "in-band" {
		os.Exit(edge.Main(os.Args[2:]))
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
