package daemon

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/query"
)

// operatorService answers the operators' client.
type operatorService struct{ n *Node }

// OperatorService returns the handler of operators' calls.
func (n *Node) OperatorService() fulmarfieldv1connect.OperatorServiceHandler {
	return operatorService{n}
}

// commitTimeout bounds a commit with its read-backs; past it the outcome is unknown.
const commitTimeout = 10 * time.Second

// Plan says what a declaration would change, without changing anything.
func (s operatorService) Plan(ctx context.Context, r *connect.Request[pb.PlanRequest]) (*connect.Response[pb.PlanResponse], error) {
	basis, _ := s.gather(ctx, "")
	response := &pb.PlanResponse{Basis: basis}
	d, errs := declaration.Parse(r.Msg.GetFileName(), r.Msg.GetDeclaration())
	if len(errs) > 0 {
		response.Errors = errs.Lines()
		return connect.NewResponse(response), nil
	}
	_, response.Lines = declaration.Build(s.n.relay.Current().Proto, d, "plan", "", time.Now())
	return connect.NewResponse(response), nil
}

// Apply commits a declaration and waits until it is in force.
func (s operatorService) Apply(ctx context.Context, r *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	m := r.Msg
	response := &pb.ApplyResponse{ChangeId: m.GetChangeId()}
	d, errs := declaration.Parse(m.GetFileName(), m.GetDeclaration())
	if len(errs) > 0 {
		response.Outcome, response.Reason = pb.Outcome_OUTCOME_REFUSED, "the declaration has errors"
		response.Errors = errs.Lines()
		response.Basis, _ = s.gather(ctx, "")
		return connect.NewResponse(response), nil
	}
	edit := func(previous *pb.Configuration) (*pb.Configuration, error) {
		next, _ := declaration.Build(previous, d, m.GetChangeId(), m.GetAuthor(), time.Now())
		return next, nil
	}
	result := s.commit(ctx, m.GetChangeId(), m.GetExpectedGeneration(), edit)
	response.Outcome, response.Generation, response.Reason = result.outcome, result.generation, result.reason
	response.InForce, response.NotConfirmed = s.waitInForce(ctx, result, m.GetWaitMs())
	response.Basis, _ = s.gather(ctx, "")
	return connect.NewResponse(response), nil
}

// Run answers one line of the language.
func (s operatorService) Run(ctx context.Context, r *connect.Request[pb.RunRequest]) (*connect.Response[pb.RunResponse], error) {
	if query.IsQuery(r.Msg.GetLine()) {
		return connect.NewResponse(s.query(ctx, r.Msg.GetLine())), nil
	}
	return connect.NewResponse(s.command(ctx, r.Msg)), nil
}

func (s operatorService) query(ctx context.Context, line string) *pb.RunResponse {
	q, err := query.Parse(line)
	if err != nil {
		return &pb.RunResponse{Errors: []string{err.Error()}}
	}
	basis, statuses := s.gather(ctx, q.Caller())
	response := &pb.RunResponse{Basis: basis}
	facts := query.Facts{Snapshot: s.n.relay.Current(), Statuses: statuses, Missing: basis.GetMissing(), Now: time.Now()}
	response.Table, err = q.Evaluate(facts)
	if err != nil {
		response.Errors = []string{err.Error()}
	}
	return response
}

func (s operatorService) command(ctx context.Context, m *pb.RunRequest) *pb.RunResponse {
	response := &pb.RunResponse{ChangeId: m.GetChangeId()}
	c, err := command.Parse(m.GetLine())
	if err != nil {
		response.Outcome, response.Errors = pb.Outcome_OUTCOME_REFUSED, []string{err.Error()}
		response.Reason = "the line is not a command"
		return response
	}
	change := declaration.Change{ID: m.GetChangeId(), Author: m.GetAuthor(), At: time.Now()}
	result := s.commit(ctx, m.GetChangeId(), 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
		return c.Edit(previous, change)
	})
	s.n.logger.Info().Str("event", eventCommand).Str("line", m.GetLine()).Str("author", m.GetAuthor()).
		Str("change_id", m.GetChangeId()).Str("outcome", result.outcome.String()).Msg("")
	response.Outcome, response.Reason = result.outcome, result.reason
	response.InForce, response.NotConfirmed = s.waitInForce(ctx, result, m.GetWaitMs())
	response.Basis, _ = s.gather(ctx, "")
	return response
}

type commitResult struct {
	outcome    pb.Outcome
	generation uint64
	reason     string
}

func (s operatorService) commit(ctx context.Context, changeID string, expected uint64, edit commit.Edit) commitResult {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result := s.n.committer.Commit(ctx, changeID, expected, edit)
	if result.Configuration != nil {
		s.n.relay.HandlePush(&pb.PushConfigurationRequest{Configuration: result.Configuration})
	}
	return commitResult{outcome: result.Outcome, generation: result.Generation, reason: reasonOf(result)}
}

func reasonOf(r commit.Result) string {
	if r.Err == nil {
		return ""
	}
	if len(r.Changed) == 0 {
		return r.Err.Error()
	}
	return r.Err.Error() + ": " + strings.Join(r.Changed, "; ")
}

// inForcePoll is how often a waiting command asks the daemons for their generation.
const inForcePoll = 100 * time.Millisecond

// waitInForce asks all daemons for their generation until each has at least the committed one
// or the time is up. Daemons that did not confirm are listed, never assumed.
func (s operatorService) waitInForce(ctx context.Context, r commitResult, waitMs uint32) (inForce, notConfirmed []string) {
	if r.outcome != pb.Outcome_OUTCOME_COMMITTED && r.outcome != pb.Outcome_OUTCOME_UNCHANGED {
		return nil, nil
	}
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		basis, statuses := s.gather(ctx, "")
		inForce, notConfirmed = nil, append([]string(nil), basis.GetMissing()...)
		for _, status := range statuses {
			if status.GetGeneration() >= r.generation {
				inForce = append(inForce, status.GetDaemon())
			} else {
				notConfirmed = append(notConfirmed, status.GetDaemon())
			}
		}
		if len(notConfirmed) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return inForce, notConfirmed
		}
		time.Sleep(inForcePoll)
	}
}

// gather asks every daemon of the view for its status and says which answered.
func (s operatorService) gather(ctx context.Context, caller string) (*pb.Basis, []*pb.StatusResponse) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := []*pb.StatusResponse{s.n.Status(caller)}
	basis := &pb.Basis{
		Generation:        s.n.relay.Current().Generation(),
		GenerationAgeMs:   s.n.relay.Age().Milliseconds(),
		PlatformReachable: s.n.relay.PlatformReachable(),
	}
	for _, m := range s.n.membership.View().Members {
		if m.ID == s.n.self.ID || m.State == pb.MemberState_MEMBER_STATE_LEFT {
			continue
		}
		wg.Go(func() {
			status, err := s.statusOf(ctx, m, caller)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				basis.Missing = append(basis.Missing, string(m.ID))
				return
			}
			statuses = append(statuses, status)
		})
	}
	wg.Wait()
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].GetDaemon() < statuses[j].GetDaemon() })
	sort.Strings(basis.Missing)
	for _, status := range statuses {
		basis.Heard = append(basis.Heard, status.GetDaemon())
	}
	return basis, statuses
}

var errNotReachable = errors.New("daemon was dropped from the view")

func (s operatorService) statusOf(ctx context.Context, m membership.Member, caller string) (*pb.StatusResponse, error) {
	if !m.IsReachable() {
		return nil, errNotReachable
	}
	client, err := s.n.clients.Client(m.ID)
	if err != nil {
		return nil, err
	}
	response, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{Caller: caller}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

var _ config.Provider = lateBinding{}
