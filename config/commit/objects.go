// Package commit reads and changes the configuration in the platform's object store: one
// small head object, and one content object for each service and content generation that is
// written before the head and never changed. It owns no state but a cache of content objects
// and calls the platform.
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

const contentPrefix = "config/service/"

// maxHeadBytes bounds a decompressed head; 7,900 daemons and 5,600 services need about 250 KB.
const maxHeadBytes = 16 << 20

// Errors of reading the configuration.
var (
	// ErrUnreachable means that the platform did not serve a call.
	ErrUnreachable = errors.New("configuration cannot be read from the platform")
	// ErrCorrupt means that an object of the configuration does not decode.
	ErrCorrupt = errors.New("configuration object is corrupt")
)

// head is the decoded head object. It is stored as a compressed Configuration in which each service has
// only its number and, as table_generation, the generation of its content object.
type head struct {
	version store.Version
	proto   *pb.Configuration
}

// contents returns the content generation of each service.
func (h head) contents() map[uint32]uint64 {
	contents := make(map[uint32]uint64, len(h.proto.GetServices()))
	for _, s := range h.proto.GetServices() {
		contents[s.GetNumber()] = s.GetTableGeneration()
	}
	return contents
}

func (h head) find(changeID string) (*pb.ChangeRecord, bool) {
	for _, r := range h.proto.GetHistory() {
		if r.GetChangeId() == changeID {
			return r, true
		}
	}
	return nil, false
}

// newHead returns the head of a configuration whose services have the given content
// generations.
func newHead(c *pb.Configuration, contents map[uint32]uint64) *pb.Configuration {
	h := &pb.Configuration{
		Generation: c.GetGeneration(), ChangeId: c.GetChangeId(), Author: c.GetAuthor(),
		CommittedAtMs: c.GetCommittedAtMs(), History: c.GetHistory(), Daemons: c.GetDaemons(),
		Zones: c.GetZones(), LastUpstreamNumber: c.GetLastUpstreamNumber(),
		Deployment: c.GetDeployment(), LastServiceNumber: c.GetLastServiceNumber(),
	}
	for _, s := range c.GetServices() {
		h.Services = append(h.Services, &pb.Service{Number: s.GetNumber(), TableGeneration: contents[s.GetNumber()]})
	}
	return h
}

// encodeHead serializes and compresses a head. Watchers read it at each change, and its history
// of 256 changes is 30 KB of similar text, compressed about 6 KB.
func encodeHead(h *pb.Configuration) ([]byte, error) {
	raw, err := encode(h)
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

// readHead returns the head, one of generation 0 when nothing was ever committed.
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

// parseContentKey is the reverse of contentKey.
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

// encode serializes in a fixed order of fields, so that equal content has equal bytes.
func encode(m proto.Message) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return raw, nil
}
