package daemon

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/internal/lineerror"
	"github.com/fulmarfield/fulmarfield/query"
)

// operatorService implements OperatorService. Commands are in operatorcommand.go, queries in
// operatorquery.go, and declarations in operatordeclaration.go.
type operatorService struct{ node *Node }

// OperatorService returns the handler of operators' calls.
func (n *Node) OperatorService() fulmarfieldv1connect.OperatorServiceHandler {
	return operatorService{n}
}

// Run runs one line of the operators' language.
func (s operatorService) Run(ctx context.Context, r *connect.Request[pb.RunRequest]) (*connect.Response[pb.RunResponse], error) {
	line := r.Msg.GetLine()
	switch {
	case query.IsQuery(line):
		return connect.NewResponse(s.runQuery(ctx, line)), nil
	case command.IsCommand(line):
		return connect.NewResponse(s.runCommand(ctx, r.Msg)), nil
	default:
		forms := append(append([]string{}, query.Forms...), command.Forms...)
		err := lineerror.SyntaxError(line, errUnknownFirstWord, forms)
		return connect.NewResponse(&pb.RunResponse{Basis: s.collectFreshness(ctx), Errors: []string{err.Error()}}), nil
	}
}

// freshness returns the freshness metadata of a response that is based on this daemon alone.
func (s operatorService) freshness() *pb.Basis {
	return &pb.Basis{
		Generation:        s.node.relay.Current().Generation(),
		GenerationAgeMs:   s.node.relay.GenerationAge().Milliseconds(),
		PlatformReachable: s.node.relay.PlatformReachable(),
		Heard:             []string{string(s.node.self.ID)},
	}
}

var _ config.Provider = lateBinding{}
