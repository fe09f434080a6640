// Command standin runs one case of the review with small stand-ins for the platform, its routers and a client.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(ctx context.Context, w *world, trouble bool) int{"frozen-peer": frozenPeer, "late-write": lateWrite, "foreign-entry": foreignEntry, "unreadable-entry": unreadable}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/fulmar-balancer", "program of the deploy file")
	record := flag.String("record", "", "file for the record")
	length := flag.Duration("length", 100*time.Second, "time after which the run ends")
	flag.Parse()
	os.Exit(run(*name, *binary, *record, *length, os.Getenv("TROUBLE") != "0"))
}

func run(name, binary, record string, length time.Duration, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	w, err := newWorld(binary)
	if w != nil {
		defer func() {
			w.stop()
			if os.Getenv("KEEP") == "" {
				_ = os.RemoveAll(w.dir)
			} else {
				fmt.Println(w.dir)
			}
		}()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	status := play(ctx, w, trouble)
	w.log("trouble: %v, exit status %d", trouble, status)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := os.WriteFile(record, []byte(strings.Join(w.record, "\n")+"\n"), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return status
}
