package client

import (
	"context"
	"io"
)

// PromptOn runs the prompt on a terminal that is given by its input and output.
func PromptOn(ctx context.Context, c *Client, screen io.ReadWriter) int {
	p := &Program{client: c, printer: Printer{Format: Text}}
	return p.onTerminal(ctx, screen)
}
