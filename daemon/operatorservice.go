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

// operatorService answers the operators' client. Its commands are in operatorcommand.go, its
// queries in operatorquery.go, and declarations in operatordeclaration.go.
type operatorService struct{ n *Node }

// OperatorService returns the handler of operators' calls.
func (n *Node) OperatorService() fulmarfieldv1connect.OperatorServiceHandler {
	return operatorService{n}
}

// Run answers one line of the language.
func (s operatorService) Run(ctx context.Context, r *connect.Request[pb.RunRequest]) (*connect.Response[pb.RunResponse], error) {
	line := r.Msg.GetLine()
	switch {
	case query.IsQuery(line):
		return connect.NewResponse(s.query(ctx, line)), nil
	case command.IsCommand(line):
		return connect.NewResponse(s.command(ctx, r.Msg)), nil
	default:
		forms := append(append([]string{}, query.Forms...), command.Forms...)
		err := lineerror.SyntaxError(line, errNotALine, forms)
		return connect.NewResponse(&pb.RunResponse{Basis: s.askAll(ctx), Errors: []string{err.Error()}}), nil
	}
}

// basis returns what this daemon alone knows of the basis of an answer.
func (s operatorService) basis() *pb.Basis {
	return &pb.Basis{
		Generation:        s.n.relay.Current().Generation(),
		GenerationAgeMs:   s.n.relay.Age().Milliseconds(),
		PlatformReachable: s.n.relay.PlatformReachable(),
		Heard:             []string{string(s.n.self.ID)},
	}
}

var _ config.Provider = lateBinding{}
