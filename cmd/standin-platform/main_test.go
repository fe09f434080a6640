package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	standin "github.com/fulmarfield/fulmarfield/standin/platform"
)

// Guards against an invalid setting that is not refused at the start, or whose error does not contain the
// flag and the value.
func TestBadSettingsAreRefused(t *testing.T) {
	for want, s := range map[string]settings{
		`--listen "here": must be IP:port`:   {Listen: "here", WriteRate: 1, ReadRate: 1},
		`--write-rate 0: must be at least 1`: {Listen: "127.0.99.1:0", ReadRate: 1},
		`--read-rate -1: must be at least 1`: {Listen: "127.0.99.1:0", WriteRate: 1, ReadRate: -1},
		`--deployment "no-such-file": must`:  {Listen: "127.0.99.1:0", WriteRate: 1, ReadRate: 1, Deployment: "no-such-file"},
		`--deployment "main.go": must be a valid declaration`: {
			Listen: "127.0.99.1:0", WriteRate: 1, ReadRate: 1, Deployment: "main.go",
		},
	} {
		_, err := s.newPlatform()
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)))
	}
}

// Guards against a shutdown that waits for pending long polls until they time out.
func TestStopEndsWaitingWatches(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	const address = "127.0.99.250:17100"
	go func() { done <- serve(ctx, address, standin.New(standin.Options{}), zerolog.Nop()) }()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/v1/objects/key", http.NoBody)
		request.Header.Set("If-None-Match", `"0"`)
		request.Header.Set("Prefer", "wait=25")
		var err error
		for range 100 {
			var response *http.Response
			if response, err = http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
			if ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	time.Sleep(300 * time.Millisecond)
	cancel()
	g.Eventually(done, shutdownTimeout/2).Should(Receive(BeNil()))
	g.Eventually(watched, shutdownTimeout).Should(BeClosed())
}
