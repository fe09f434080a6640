// Command review-standin runs the cases of the review: stand-ins for the platform's store and routers,
// for clients and for endpoints, beside the daemons of this project.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name.
var cases = map[string]func(dir string, hasTrouble bool) (*deployment, error){
	"restart":  runRestart,
	"routes":   runRoutes,
	"foreign":  runForeign,
	"services": runServices,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// stopOnSignal ends all processes that this one started when it is asked to end.
func stopOnSignal(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	killStarted()
	_ = os.RemoveAll(dir)
	os.Exit(exitFailed)
}

func run(args []string) int {
	if len(args) > 0 && args[0] == "endpoint" {
		if err := runEndpoint(args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, "endpoint:", err)
		}
		return exitFailed
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("files:", dir)
	}
	go stopOnSignal(dir)
	d, err := cases[args[0]](dir, os.Getenv("TROUBLE") != "0")
	if d != nil {
		d.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	l, err := readEndpointLogs(dir)
	if err != nil || len(l) == 0 {
		fmt.Fprintln(os.Stderr, "no logs of endpoints:", err)
		return exitFailed
	}
	broken := d.record.verdict(l, d.disturbed)
	if err := d.record.write(filepath.Join(args[1], "record.txt"), l, broken); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Printf("sent %d requests, answered %d, violations %d\n", len(d.record.sentIDs), len(d.record.answers), len(broken))
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(b)
	}
	if len(d.record.answers) == 0 {
		return exitFailed
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
