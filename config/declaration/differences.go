package declaration

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Differences returns one line for each difference in the declared content of two configurations.
// previous may be nil.
func Differences(previous, next *pb.Configuration) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if previous.GetDeployment() != next.GetDeployment() {
		add("deployment is %s", next.GetDeployment())
	}
	if !slices.Equal(previous.GetZones(), next.GetZones()) {
		add("zones are %s", strings.Join(next.GetZones(), ", "))
	}
	lines = append(lines, daemonDifferences(previous, next)...)
	previousServices, nextServices := servicesByNumber(previous), servicesByNumber(next)
	for _, service := range next.GetServices() {
		before := previousServices[service.GetNumber()]
		if before == nil {
			add("add service %s at %s", service.GetName(), service.GetAddress())
		}
		lines = append(lines, serviceDifferences(before, service)...)
	}
	for _, before := range previous.GetServices() {
		if nextServices[before.GetNumber()] == nil {
			add("remove service %s at %s with %d upstreams, whose flows end", before.GetName(), before.GetAddress(), len(before.GetUpstreams()))
		}
	}
	return lines
}

func daemonDifferences(previous, next *pb.Configuration) []string {
	var lines []string
	for _, d := range next.GetDaemons() {
		before := findDaemon(previous, d.GetName())
		switch {
		case before == nil:
			lines = append(lines, "add daemon "+d.GetName())
		case before.GetState() != d.GetState():
			lines = append(lines, fmt.Sprintf("daemon %s is %s", d.GetName(), stateName(d.GetState())))
		}
	}
	for _, before := range previous.GetDaemons() {
		if findDaemon(next, before.GetName()) == nil {
			lines = append(lines, "remove daemon "+before.GetName())
		}
	}
	return lines
}

func serviceDifferences(before, service *pb.Service) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	name := service.GetName()
	if before != nil && before.GetAim() != service.GetAim() {
		add("%s: aim is %s", name, AimName(service.GetAim()))
	}
	if before != nil && !proto.Equal(before.GetLimits(), service.GetLimits()) {
		add("%s: limits are %s", name, limitsText(service.GetLimits()))
	}
	old := map[uint32]*pb.Upstream{}
	for _, u := range before.GetUpstreams() {
		old[u.GetNumber()] = u
	}
	for _, u := range service.GetUpstreams() {
		previous, ok := old[u.GetNumber()]
		delete(old, u.GetNumber())
		if !ok {
			add("%s: add upstream %s at %s as number %d", name, u.GetName(), u.GetAddress(), u.GetNumber())
		} else if !proto.Equal(previous, u) {
			add("%s: upstream %s is %s, %d slots, weight %d, zone %s", name, u.GetName(),
				stateName(u.GetState()), u.GetSlots(), u.GetWeight(), u.GetZone())
		}
	}
	for _, u := range before.GetUpstreams() {
		if _, isRemoved := old[u.GetNumber()]; isRemoved {
			add("%s: remove upstream %s at %s, number %d%s", name, u.GetName(), u.GetAddress(), u.GetNumber(), removalWarning(u))
		}
	}
	return lines
}

// removalWarning returns a warning if an upstream to be removed is not draining, so that it may have
// established flows; otherwise it returns an empty text.
func removalWarning(u *pb.Upstream) string {
	if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING {
		return ""
	}
	return ", which is not draining: its flows end"
}

// AimName returns the name of an aim as used in declarations.
func AimName(aim pb.Aim) string { return strings.ToLower(strings.TrimPrefix(aim.String(), "AIM_")) }

// stateName returns the name of a state as used in declarations.
func stateName(s pb.DeclaredState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "DECLARED_STATE_"))
}

// limitsText returns the limits in one line of a summary.
func limitsText(l *pb.Limits) string {
	return fmt.Sprintf("queue_length %d, retry_percent %d, idle_limit %s, drain_limit %s, load_bound_percent %d",
		l.GetQueueLength(), l.GetRetryPercent(), msToDuration(l.GetIdleLimitMs()), msToDuration(l.GetDrainLimitMs()), l.GetLoadBoundPercent())
}

func msToDuration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
