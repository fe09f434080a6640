package client

import (
	"context"
	"io"
)

// RunTerminal runs the prompt on a terminal that the test provides.
func RunTerminal(ctx context.Context, c *Client, screen io.ReadWriter) int {
	p := &Program{client: c, printer: Printer{Format: Text}}
	return p.runTerminal(ctx, screen)
}
