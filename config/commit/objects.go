// Package commit reads and changes the configuration in the platform's object store. The
// configuration is stored as one small head object, which refers to one immutable content object
// for each service. A change writes a new content object for each changed service, under the next
// free content generation, and then updates the head conditionally. The package keeps no state but
// a cache of content objects.
package commit

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/store"
)

// HeadKey is the key of the head object.
const HeadKey = "config/head"

// contentPrefix is the prefix of the keys of content objects, see contentKey.
const contentPrefix = "config/service/"

// maxHeadBytes limits the size of a decompressed head, so that a corrupt object cannot exhaust the
// memory. 7,900 daemons and 5,600 services need about 250 KB.
const maxHeadBytes = 16 << 20

// Errors of reading the configuration.
var (
	// ErrUnreachable means that the platform did not serve a read, a listing or a deletion.
	ErrUnreachable = errors.New("configuration cannot be read from the platform")
	// ErrCorrupt means that an object of the configuration cannot be decoded or that a content
	// object is missing.
	ErrCorrupt = errors.New("configuration object is corrupt")
)

// head is the decoded head object. It is stored as a compressed Configuration in which each service
// has only its number and, in table_generation, the generation of its content object.
type head struct {
	version store.Version
	proto   *pb.Configuration
}

// contentGenerations returns the content generation of each service.
func (h head) contentGenerations() map[uint32]uint64 {
	contentGenerations := make(map[uint32]uint64, len(h.proto.GetServices()))
	for _, s := range h.proto.GetServices() {
		contentGenerations[s.GetNumber()] = s.GetTableGeneration()
	}
	return contentGenerations
}

// findChange returns the record of a change in the history.
func (h head) findChange(changeID string) (*pb.ChangeRecord, bool) {
	for _, r := range h.proto.GetHistory() {
		if r.GetChangeId() == changeID {
			return r, true
		}
	}
	return nil, false
}

// newHead returns the head of a configuration whose services have the given content
// generations.
func newHead(c *pb.Configuration, generations map[uint32]uint64) *pb.Configuration {
	h := &pb.Configuration{
		Generation: c.GetGeneration(), ChangeId: c.GetChangeId(), Author: c.GetAuthor(),
		CommittedAtMs: c.GetCommittedAtMs(), History: c.GetHistory(), Daemons: c.GetDaemons(),
		Zones: c.GetZones(), LastUpstreamNumber: c.GetLastUpstreamNumber(),
		Deployment: c.GetDeployment(), LastServiceNumber: c.GetLastServiceNumber(),
	}
	for _, s := range c.GetServices() {
		h.Services = append(h.Services, &pb.Service{Number: s.GetNumber(), TableGeneration: generations[s.GetNumber()]})
	}
	return h
}

// encodeHead serializes and compresses a head. The watchers read the head at each change. The summaries in
// its history are similar texts, so compression reduces 256 changes from about 30 KB to about 6 KB.
func encodeHead(h *pb.Configuration) ([]byte, error) {
	raw, err := marshalDeterministic(h)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress head: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress head: %w", err)
	}
	return compressed.Bytes(), nil
}

func decodeHead(o store.Object) (head, error) {
	h := head{version: o.Version, proto: &pb.Configuration{}}
	r, err := gzip.NewReader(bytes.NewReader(o.Value))
	if err != nil {
		return head{}, fmt.Errorf("%w: %s: %w", ErrCorrupt, o.Key, err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxHeadBytes))
	if err != nil {
		return head{}, fmt.Errorf("%w: %s: %w", ErrCorrupt, o.Key, err)
	}
	if err := proto.Unmarshal(raw, h.proto); err != nil {
		return head{}, fmt.Errorf("%w: %s: %w", ErrCorrupt, o.Key, err)
	}
	return h, nil
}

// readHead reads the head. It returns a head of generation 0 when the store has none, that is before
// the first commit.
func readHead(ctx context.Context, objects store.Store) (head, error) {
	o, err := objects.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return head{proto: &pb.Configuration{}}, nil
	}
	if err != nil {
		return head{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return decodeHead(o)
}

func contentKey(service uint32, generation uint64) string {
	return fmt.Sprintf("%s%d/%d", contentPrefix, service, generation)
}

// parseContentKey returns the service and the content generation that contentKey built the key from.
func parseContentKey(key string) (service uint32, generation uint64, ok bool) {
	rest, found := strings.CutPrefix(key, contentPrefix)
	if !found {
		return 0, 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d/%d", &service, &generation); err != nil {
		return 0, 0, false
	}
	return service, generation, contentKey(service, generation) == key
}

// marshalDeterministic serializes a message in a fixed order of fields, so that equal messages have
// equal bytes.
func marshalDeterministic(m proto.Message) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return raw, nil
}
