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

// commitTimeout limits a commit including reading it back; after it the outcome is unknown.
const commitTimeout = 10 * time.Second

// errUnknownFirstWord reports a line whose first word begins neither a query nor a command.
var errUnknownFirstWord = errors.New("the first word begins neither a query nor a command")

// runCommand runs one command: it commits the edit and waits until the edit is in force.
func (s operatorService) runCommand(ctx context.Context, m *pb.RunRequest) *pb.RunResponse {
	response := &pb.RunResponse{ChangeId: m.GetChangeId()}
	c, err := command.Parse(m.GetLine())
	if err != nil {
		response.Outcome, response.Errors = pb.Outcome_OUTCOME_REFUSED, []string{err.Error()}
		response.Reason = "the line is not a command"
		response.Basis = s.collectFreshness(ctx)
		return response
	}
	change := declaration.Change{ID: m.GetChangeId(), Author: m.GetAuthor(), At: time.Now()}
	var base *pb.Configuration
	result := s.commit(ctx, m.GetChangeId(), 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
		next, err := c.Edit(previous, change)
		if err != nil && base != nil && previous.GetGeneration() > base.GetGeneration() {
			return nil, conflictError(previous, base.GetGeneration(), err)
		}
		base = previous
		if err == nil && !c.IsForced() {
			err = s.checkRemovals(ctx, previous, next)
		}
		return next, command.Locate(m.GetLine(), previous, err)
	})
	s.logChange(m.GetLine(), m.GetAuthor(), m.GetChangeId(), result)
	response.Outcome, response.Reason = result.outcome, result.reason
	collector := s.newStatusCollector()
	response.InForce, response.NotConfirmed = collector.waitUntilInForce(ctx, result, m.GetWaitMs())
	response.Basis, _ = collector.collect(ctx, &pb.StatusRequest{})
	return response
}

// conflictError returns the error of an edit that is no longer possible because other changes were
// committed first; it names those changes.
func conflictError(current *pb.Configuration, sinceGeneration uint64, err error) error {
	var changes []string
	for _, r := range current.GetHistory() {
		if r.GetGeneration() > sinceGeneration {
			changes = append(changes, fmt.Sprintf("generation %d by %s: %s", r.GetGeneration(), r.GetAuthor(), r.GetSummary()))
		}
	}
	return fmt.Errorf("%w: %w: %s", commit.ErrConflict, err, strings.Join(changes, "; "))
}

// logChange logs a change and its outcome at the daemon that the operator called.
func (s operatorService) logChange(line, author, changeID string, r commitResult) {
	s.node.logger.Info().Str("event", eventOperatorCommand).Str("line", line).Str("author", author).
		Str("change_id", changeID).Str("outcome", r.outcome.String()).Str("reason", r.reason).Msg("")
}

// commitResult is the result of a commit as reported to the operator.
type commitResult struct {
	outcome    pb.Outcome
	generation uint64
	reason     string
}

// commit commits an edit and, if it is committed, puts the configuration in force at this daemon.
func (s operatorService) commit(ctx context.Context, changeID string, expected uint64, edit commit.Edit) commitResult {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result := s.node.committer.Commit(ctx, changeID, expected, edit)
	if result.Configuration != nil {
		s.node.relay.HandlePush(&pb.PushConfigurationRequest{Configuration: result.Configuration})
	}
	return commitResult{outcome: result.Outcome, generation: result.Generation, reason: commitReason(result)}
}

// commitReason returns the text of a commit's error with the changes that were committed first, or "".
func commitReason(r commit.Result) string {
	if r.Err == nil {
		return ""
	}
	if len(r.OtherChanges) == 0 {
		return r.Err.Error()
	}
	return r.Err.Error() + ": " + strings.Join(r.OtherChanges, "; ")
}

// inForcePollInterval is the time between two status requests to the daemons while a change waits to
// be in force.
const inForcePollInterval = 100 * time.Millisecond

// waitUntilInForce polls the generations of all daemons until each has at least the committed one or the
// wait time has passed. It does not poll a daemon again that has confirmed, since each call is control
// traffic. It returns the daemons that confirmed the generation and those that did not: a daemon that
// did not respond is never assumed to have the change in force.
func (c *statusCollector) waitUntilInForce(ctx context.Context, r commitResult, waitMs uint32) (inForce, notConfirmed []string) {
	if r.outcome != pb.Outcome_OUTCOME_COMMITTED && r.outcome != pb.Outcome_OUTCOME_UNCHANGED {
		return nil, nil
	}
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	c.confirmed = map[string]bool{}
	defer func() { c.confirmed = nil }()
	for {
		freshness, statuses := c.collect(ctx, &pb.StatusRequest{})
		notConfirmed = append([]string(nil), freshness.GetMissing()...)
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
		case <-time.After(inForcePollInterval):
		}
	}
}
