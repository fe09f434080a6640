package declaration

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// MaxHistory is the maximum number of change records in a configuration.
const MaxHistory = 256

// Build returns the configuration that follows previous, which may be nil, and one summary line for
// each difference. Services and upstreams that were already declared keep their numbers; a number is
// never assigned twice. A service is identified by its name and address, and an upstream by its
// service, name and address. A state that the declaration omits does not change.
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
		before := findServiceAt(previous, declared.Name, declared.Address)
		for _, u := range upstreams[declared.Name] {
			service.Upstreams = append(service.Upstreams, buildUpstream(before, next, u, now))
		}
		next.Services = append(next.Services, service)
	}
	summary := Differences(previous, next)
	finalize(previous, next, change, summary)
	return next, summary
}

// CheckDeployment returns ErrOtherDeployment if previous is the configuration of another deployment.
// Build would remove the services of that deployment.
func CheckDeployment(previous *pb.Configuration, d *Declaration) error {
	if inForce := previous.GetDeployment(); inForce != "" && inForce != d.Deployment {
		return fmt.Errorf("%w: %q, in force is %q", ErrOtherDeployment, d.Deployment, inForce)
	}
	return nil
}

// Change identifies a change and its author.
type Change struct {
	ID     string
	Author string
	At     time.Time
}

// buildDaemon returns a declared daemon, which keeps its previous state if none is declared.
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

// buildService returns a service without upstreams. A service that is not in previous gets a new
// number, and next.LastServiceNumber is incremented.
func buildService(previous, next *pb.Configuration, declared Service) *pb.Service {
	service := &pb.Service{
		Name:    declared.Name,
		Address: declared.Address.String(),
		Aim:     declared.Aim,
		Limits:  declared.Limits.Proto(),
	}
	if before := findServiceAt(previous, declared.Name, declared.Address); before != nil {
		service.Number = before.GetNumber()
		return service
	}
	next.LastServiceNumber++
	service.Number = next.LastServiceNumber
	return service
}

// buildUpstream returns an upstream of a service. before is the service in the previous configuration, or
// nil. An upstream that before does not have gets a new number, and next.LastUpstreamNumber is
// incremented.
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

// setState changes the state of an upstream and the start of its draining. An unspecified state changes
// nothing.
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

// finalize sets the generation, the history and the table versions of the configuration that follows
// previous.
func finalize(previous, next *pb.Configuration, change Change, summary []string) {
	next.Generation = previous.GetGeneration() + 1
	next.ChangeId = change.ID
	next.Author = change.Author
	next.CommittedAtMs = change.At.UnixMilli()
	record := &pb.ChangeRecord{
		ChangeId: change.ID, Generation: next.GetGeneration(), Author: change.Author,
		CommittedAtMs: next.GetCommittedAtMs(), Summary: summaryText(summary),
	}
	// Newest first, like table versions.
	next.History = append([]*pb.ChangeRecord{record}, previous.GetHistory()...)
	if len(next.History) > MaxHistory {
		next.History = next.History[:MaxHistory]
	}
	before := servicesByNumber(previous)
	for _, service := range next.GetServices() {
		updateTableVersions(before[service.GetNumber()], service, next.GetGeneration(), change.At)
	}
}

// maxSummaryBytes limits the summary of a change record, so that the history fits into the head object.
const maxSummaryBytes = 400

// summaryText joins the summary lines and replaces those beyond maxSummaryBytes by their number.
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

// SameContent reports whether two configurations have the same declared content. Generations, authors,
// histories and table versions are not compared.
func SameContent(a, b *pb.Configuration) bool { return proto.Equal(content(a), content(b)) }

// content returns the declared part of a configuration.
func content(c *pb.Configuration) *pb.Configuration {
	declared := &pb.Configuration{
		Deployment: c.GetDeployment(), Zones: c.GetZones(), Daemons: c.GetDaemons(),
	}
	for _, s := range c.GetServices() {
		declared.Services = append(declared.Services, serviceContent(s))
	}
	return declared
}

// serviceContent returns the declared part of a service.
func serviceContent(s *pb.Service) *pb.Service {
	return &pb.Service{
		Number: s.GetNumber(), Name: s.GetName(), Address: s.GetAddress(), Aim: s.GetAim(),
		Upstreams: s.GetUpstreams(), Limits: s.GetLimits(),
	}
}

// findServiceAt returns the service with the given name and address, or nil.
func findServiceAt(c *pb.Configuration, name string, address netip.AddrPort) *pb.Service {
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
