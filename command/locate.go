package command

import (
	"errors"
	"strconv"
	"strings"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/internal/lineerror"
)

// Locate wraps an error of Edit with the column of the rejected word in the line and the values that
// are allowed there. It returns nil for nil.
func Locate(line string, c *pb.Configuration, err error) error {
	if err == nil {
		return nil
	}
	return lineerror.AtWord(line, quotedWord(err), err, allowedValues(c, err))
}

// quotedWord returns the first quoted word of an error's text, which is the rejected word of the
// line, or "" if there is none.
func quotedWord(err error) string {
	text := err.Error()
	at := strings.IndexByte(text, '"')
	if at < 0 {
		return ""
	}
	quoted, quoteErr := strconv.QuotedPrefix(text[at:])
	if quoteErr != nil {
		return ""
	}
	word, quoteErr := strconv.Unquote(quoted)
	if quoteErr != nil {
		return ""
	}
	return word
}

// allowedValues returns the values that are allowed in place of the rejected word, or the remedies
// for the error. It returns nil for other errors.
func allowedValues(c *pb.Configuration, err error) []string {
	switch {
	case errors.Is(err, declaration.ErrUnknownService):
		return serviceNames(c)
	case errors.Is(err, declaration.ErrUnknownZone):
		return c.GetZones()
	case errors.Is(err, declaration.ErrUnknownDaemon):
		var names []string
		for _, d := range c.GetDaemons() {
			names = append(names, d.GetName())
		}
		return names
	case errors.Is(err, declaration.ErrUnknownUpstream):
		var names []string
		for _, s := range c.GetServices() {
			for _, u := range s.GetUpstreams() {
				names = append(names, u.GetName())
			}
		}
		return names
	case errors.Is(err, declaration.ErrNotDraining):
		return []string{"drain the upstream first", "or add the word force, which ends its flows"}
	case errors.Is(err, declaration.ErrHasFlows), errors.Is(err, declaration.ErrFlowsUnknown):
		return []string{"wait until show drain has no flow and no daemon is missing", "or add the word force, which ends the flows"}
	case errors.Is(err, ErrUnknownID):
		var ids []string
		for _, r := range c.GetHistory() {
			ids = append(ids, r.GetChangeId())
		}
		return ids
	default:
		return nil
	}
}

func serviceNames(c *pb.Configuration) []string {
	var names []string
	for _, s := range c.GetServices() {
		names = append(names, s.GetName())
	}
	return names
}
