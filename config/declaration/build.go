package declaration

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// MaxHistory is the number of change records that a configuration keeps.
const MaxHistory = 256

// Build returns the configuration that follows previous, which may be nil, and one summary
// line for each difference. Services and upstreams that are declared again keep their
// numbers; a number is never given out twice. An upstream is the same one when its service,
// name and address are; a service when its name and address are. A state that the
// declaration leaves out stays as it is.
func Build(previous *pb.Configuration, d *Declaration, changeID, author string, now time.Time) (*pb.Configuration, []string) {
	change := Change{ID: changeID, Author: author, At: now}
	next := &pb.Configuration{
		Deployment:         d.Deployment,
		Zones:              d.Zones,
		LastUpstreamNumber: previous.GetLastUpstreamNumber(),
		LastServiceNumber:  previous.GetLastServiceNumber(),
	}
	for _, declared := range d.Daemons {
		next.Daemons = append(next.Daemons, buildDaemon(previous, declared))
	}
	upstreams := map[string][]Upstream{}
	for _, u := range d.Upstreams {
		upstreams[u.Service] = append(upstreams[u.Service], u)
	}
	for _, declared := range d.Services {
		service := buildService(previous, next, declared)
		before := sameService(previous, declared.Name, declared.Address)
		for _, u := range upstreams[declared.Name] {
			service.Upstreams = append(service.Upstreams, buildUpstream(before, next, u, now))
		}
		next.Services = append(next.Services, service)
	}
	summary := Differences(previous, next)
	finish(previous, next, change, summary)
	return next, summary
}

// CheckDeployment returns ErrOtherDeployment when previous is the configuration of another
// deployment, whose services a Build would remove.
func CheckDeployment(previous *pb.Configuration, d *Declaration) error {
	if in := previous.GetDeployment(); in != "" && in != d.Deployment {
		return fmt.Errorf("%w: %q, in force is %q", ErrOtherDeployment, d.Deployment, in)
	}
	return nil
}

// Change identifies a change and its author.
type Change struct {
	ID     string
	Author string
	At     time.Time
}

func buildDaemon(previous *pb.Configuration, declared Daemon) *pb.DeclaredDaemon {
	state := declared.State
	if state == pb.DeclaredState_DECLARED_STATE_UNSPECIFIED {
		state = pb.DeclaredState_DECLARED_STATE_ACTIVE
		if before := findDaemon(previous, declared.Name); before != nil {
			state = before.GetState()
		}
	}
	return &pb.DeclaredDaemon{Name: declared.Name, State: state}
}

func buildService(previous, next *pb.Configuration, declared Service) *pb.Service {
	service := &pb.Service{
		Name:    declared.Name,
		Address: declared.Address.String(),
		Aim:     declared.Aim,
		Limits:  declared.Limits.Proto(),
	}
	if before := sameService(previous, declared.Name, declared.Address); before != nil {
		service.Number = before.GetNumber()
		return service
	}
	next.LastServiceNumber++
	service.Number = next.LastServiceNumber
	return service
}

func buildUpstream(before *pb.Service, next *pb.Configuration, declared Upstream, now time.Time) *pb.Upstream {
	u := &pb.Upstream{
		Name:    declared.Name,
		Zone:    declared.Zone,
		Address: declared.Address.String(),
		Slots:   declared.Slots,
		Weight:  declared.Weight,
		State:   pb.DeclaredState_DECLARED_STATE_ACTIVE,
	}
	if old := findUpstream(before, declared.Name); old != nil && old.GetAddress() == u.GetAddress() {
		u.Number = old.GetNumber()
		u.State = old.GetState()
		u.DrainingSinceMs = old.GetDrainingSinceMs()
	} else {
		next.LastUpstreamNumber++
		u.Number = next.LastUpstreamNumber
	}
	setState(u, declared.State, now)
	return u
}

// setState changes the state of an upstream; unspecified leaves it.
func setState(u *pb.Upstream, state pb.DeclaredState, now time.Time) {
	if state == pb.DeclaredState_DECLARED_STATE_UNSPECIFIED || state == u.GetState() {
		return
	}
	u.State = state
	u.DrainingSinceMs = 0
	if state == pb.DeclaredState_DECLARED_STATE_DRAINING {
		u.DrainingSinceMs = now.UnixMilli()
	}
}

// finish sets generation, history and table versions of the configuration after previous.
func finish(previous, next *pb.Configuration, change Change, summary []string) {
	next.Generation = previous.GetGeneration() + 1
	next.ChangeId = change.ID
	next.Author = change.Author
	next.CommittedAtMs = change.At.UnixMilli()
	record := &pb.ChangeRecord{
		ChangeId: change.ID, Generation: next.GetGeneration(), Author: change.Author,
		CommittedAtMs: next.GetCommittedAtMs(), Summary: summaryText(summary),
	}
	// Newest first, as table versions are.
	next.History = append([]*pb.ChangeRecord{record}, previous.GetHistory()...)
	if len(next.History) > MaxHistory {
		next.History = next.History[:MaxHistory]
	}
	before := servicesByNumber(previous)
	for _, service := range next.GetServices() {
		trackTable(before[service.GetNumber()], service, next.GetGeneration(), change.At)
	}
}

// maxSummaryBytes bounds a change record, so that the history fits the head object.
const maxSummaryBytes = 400

func summaryText(lines []string) string {
	text := ""
	for i, line := range lines {
		if len(text)+len(line) > maxSummaryBytes {
			return fmt.Sprintf("%s and %d more", text, len(lines)-i)
		}
		if i > 0 {
			text += "; "
		}
		text += line
	}
	return text
}

// SameContent reports whether two configurations declare the same, whatever their
// generations, authors, histories and table versions are.
func SameContent(a, b *pb.Configuration) bool { return proto.Equal(content(a), content(b)) }

func content(c *pb.Configuration) *pb.Configuration {
	bare := &pb.Configuration{
		Deployment: c.GetDeployment(), Zones: c.GetZones(), Daemons: c.GetDaemons(),
	}
	for _, s := range c.GetServices() {
		bare.Services = append(bare.Services, serviceContent(s))
	}
	return bare
}

// serviceContent returns the declared part of a service.
func serviceContent(s *pb.Service) *pb.Service {
	return &pb.Service{
		Number: s.GetNumber(), Name: s.GetName(), Address: s.GetAddress(), Aim: s.GetAim(),
		Upstreams: s.GetUpstreams(), Limits: s.GetLimits(),
	}
}

func sameService(c *pb.Configuration, name string, address netip.AddrPort) *pb.Service {
	if s := findService(c, name); s != nil && s.GetAddress() == address.String() {
		return s
	}
	return nil
}

func findService(c *pb.Configuration, name string) *pb.Service {
	for _, s := range c.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

func servicesByNumber(c *pb.Configuration) map[uint32]*pb.Service {
	services := make(map[uint32]*pb.Service, len(c.GetServices()))
	for _, s := range c.GetServices() {
		services[s.GetNumber()] = s
	}
	return services
}

func findUpstream(s *pb.Service, name string) *pb.Upstream {
	for _, u := range s.GetUpstreams() {
		if u.GetName() == name {
			return u
		}
	}
	return nil
}

func findDaemon(c *pb.Configuration, name string) *pb.DeclaredDaemon {
	for _, d := range c.GetDaemons() {
		if d.GetName() == name {
			return d
		}
	}
	return nil
}
