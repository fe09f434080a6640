package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/fx"
)

// startBlockingApp returns a started app whose shutdown blocks until finish is closed, and a channel
// that is closed when the shutdown begins.
func startBlockingApp(g *WithT, finish <-chan struct{}) (*fx.App, <-chan struct{}) {
	stopping := make(chan struct{})
	app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
			close(stopping)
			select {
			case <-finish:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}})
	}))
	g.Expect(app.Start(context.Background())).To(Succeed())
	return app, stopping
}

// Guards against a shutdown that ignores a second signal, or that the first signal does not let finish.
func TestSignalsEndTheDaemon(t *testing.T) {
	for name, c := range map[string]struct {
		isRepeated bool
		status     int
	}{
		"one signal finishes gracefully": {false, exitOK},
		"a second signal ends at once":   {true, exitForced},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			finish := make(chan struct{})
			app, stopping := startBlockingApp(g, finish)
			signals, status := make(chan os.Signal, 2), make(chan int, 1)
			go func() {
				status <- serve(app, &Settings{ShutdownSeconds: 60, LogLevel: "error"}, make(chan error), signals)
			}()
			signals <- syscall.SIGTERM
			<-stopping
			if c.isRepeated {
				signals <- syscall.SIGTERM
				defer close(finish)
			} else {
				close(finish)
			}
			g.Expect(<-status).To(Equal(c.status))
		})
	}
}
