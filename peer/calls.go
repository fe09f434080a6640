package peer

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// Claim calls Claim on a daemon of the view. It returns ErrUnknownPeer, ErrUnauthenticated or
// ErrTransport.
func (c *ClientSet) Claim(ctx context.Context, to membership.DaemonID, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	client, err := c.Client(to)
	if err != nil {
		return nil, err
	}
	response, err := client.Claim(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, wrapCallError("claim", to, err)
	}
	return response.Msg, nil
}

// Offer calls Offer on a daemon of the view. It returns ErrUnknownPeer, ErrUnauthenticated or
// ErrTransport.
func (c *ClientSet) Offer(ctx context.Context, to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
	client, err := c.Client(to)
	if err != nil {
		return nil, err
	}
	response, err := client.Offer(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, wrapCallError("offer", to, err)
	}
	return response.Msg, nil
}

// FetchView calls GetView at the control address of a daemon that need not be in the view. It
// returns ErrUnauthenticated or ErrTransport.
func (c *ClientSet) FetchView(ctx context.Context, from membership.Member, r *pb.GetViewRequest) (*pb.GetViewResponse, error) {
	response, err := c.ClientAt(from.ControlAddress).GetView(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, wrapCallError("get view", from.ID, err)
	}
	return response.Msg, nil
}

func wrapCallError(call string, to membership.DaemonID, err error) error {
	if connect.CodeOf(err) == connect.CodeUnauthenticated || errors.Is(err, ErrUnauthenticated) {
		return fmt.Errorf("%s at %q: %w: %w", call, to, ErrUnauthenticated, err)
	}
	return fmt.Errorf("%s at %q: %w: %w", call, to, ErrTransport, err)
}
