package daemon

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// commitTimeout bounds a commit with its read-backs; past it the outcome is unknown.
const commitTimeout = 10 * time.Second

// errNotALine reports a line whose first word begins neither a query nor a command.
var errNotALine = errors.New("the first word begins neither a query nor a command")

// command commits the edit of one line and waits until it is in force.
func (s operatorService) command(ctx context.Context, m *pb.RunRequest) *pb.RunResponse {
	response := &pb.RunResponse{ChangeId: m.GetChangeId()}
	c, err := command.Parse(m.GetLine())
	if err != nil {
		response.Outcome, response.Errors = pb.Outcome_OUTCOME_REFUSED, []string{err.Error()}
		response.Reason = "the line is not a command"
		response.Basis = s.askAll(ctx)
		return response
	}
	change := declaration.Change{ID: m.GetChangeId(), Author: m.GetAuthor(), At: time.Now()}
	var base *pb.Configuration
	result := s.commit(ctx, m.GetChangeId(), 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
		next, err := c.Edit(previous, change)
		if err != nil && base != nil && previous.GetGeneration() > base.GetGeneration() {
			return nil, overtaken(previous, base.GetGeneration(), err)
		}
		base = previous
		if err == nil && !c.IsForced() {
			err = s.checkRemovals(ctx, previous, next)
		}
		return next, command.Locate(m.GetLine(), previous, err)
	})
	s.logChange(m.GetLine(), m.GetAuthor(), m.GetChangeId(), result)
	response.Outcome, response.Reason = result.outcome, result.reason
	asked := s.newCensus()
	response.InForce, response.NotConfirmed = asked.waitInForce(ctx, result, m.GetWaitMs())
	response.Basis, _ = asked.gather(ctx, &pb.StatusRequest{})
	return response
}

// overtaken is the error of an edit that was possible before another change came first; it
// names that change.
func overtaken(now *pb.Configuration, since uint64, err error) error {
	var changes []string
	for _, r := range now.GetHistory() {
		if r.GetGeneration() > since {
			changes = append(changes, fmt.Sprintf("generation %d by %s: %s", r.GetGeneration(), r.GetAuthor(), r.GetSummary()))
		}
	}
	return fmt.Errorf("%w: %w: %s", commit.ErrConflict, err, strings.Join(changes, "; "))
}

// logChange keeps a trace of each change in the log of the daemon that made it.
func (s operatorService) logChange(line, author, changeID string, r commitResult) {
	s.n.logger.Info().Str("event", eventCommand).Str("line", line).Str("author", author).
		Str("change_id", changeID).Str("outcome", r.outcome.String()).Str("reason", r.reason).Msg("")
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
	if len(r.OtherChanges) == 0 {
		return r.Err.Error()
	}
	return r.Err.Error() + ": " + strings.Join(r.OtherChanges, "; ")
}

// inForcePoll is how often a waiting command asks the daemons for their generation.
const inForcePoll = 100 * time.Millisecond

// waitInForce asks all daemons for their generation until each has at least the committed one
// or the time is up. One that confirmed is not asked again, since each call is control traffic.
// Daemons that did not confirm are listed, never assumed.
func (c *census) waitInForce(ctx context.Context, r commitResult, waitMs uint32) (inForce, notConfirmed []string) {
	if r.outcome != pb.Outcome_OUTCOME_COMMITTED && r.outcome != pb.Outcome_OUTCOME_UNCHANGED {
		return nil, nil
	}
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	c.confirmed = map[string]bool{}
	defer func() { c.confirmed = nil }()
	for {
		basis, statuses := c.gather(ctx, &pb.StatusRequest{})
		notConfirmed = append([]string(nil), basis.GetMissing()...)
		for _, status := range statuses {
			switch {
			case c.confirmed[status.GetDaemon()]:
			case status.GetGeneration() >= r.generation:
				c.confirmed[status.GetDaemon()] = true
				inForce = append(inForce, status.GetDaemon())
			default:
				notConfirmed = append(notConfirmed, status.GetDaemon())
			}
		}
		sort.Strings(inForce)
		if len(notConfirmed) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return inForce, notConfirmed
		}
		select {
		case <-ctx.Done():
		case <-time.After(inForcePoll):
		}
	}
}
