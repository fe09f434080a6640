package declaration_test

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// A fixed seed makes the property tests reproducible. -rapid.seed=0 selects a random seed.
var _ = flag.Set("rapid.seed", "1")

var startTime = time.UnixMilli(1_700_000_000_000)

// mustBuild parses a declaration and builds the configuration that follows previous.
func mustBuild(g Gomega, previous *pb.Configuration, text string, at time.Duration) *pb.Configuration {
	d, errs := declaration.Parse("d.yaml", []byte(text))
	g.Expect(errs).To(BeEmpty())
	c, _ := declaration.Build(previous, d, fmt.Sprint("change-", at), "operator", startTime.Add(at))
	return c
}

func changeAt(at time.Duration) declaration.Change {
	return declaration.Change{ID: fmt.Sprint("change-", at), Author: "operator", At: startTime.Add(at)}
}

func findUpstream(c *pb.Configuration, name string) *pb.Upstream {
	for _, s := range c.GetServices() {
		for _, u := range s.GetUpstreams() {
			if u.GetName() == name {
				return u
			}
		}
	}
	return nil
}

// Guards against a number that is assigned again to another upstream or service: flows of the earlier one
// would be forwarded to the later one.
func TestNumbersAreKeptAndNeverReused(t *testing.T) {
	g := NewWithT(t)
	first := mustBuild(g, nil, validYAML, 0)
	g.Expect(findUpstream(first, "bindery-1").GetNumber()).To(BeEquivalentTo(1))
	without := mustBuild(g, first, strings.Replace(validYAML, "  - {name: bindery-1", "  # - {name: bindery-1", 1), 1)
	g.Expect(findUpstream(without, "bindery-2").GetNumber()).To(BeEquivalentTo(2))
	again := mustBuild(g, without, validYAML, 2)
	g.Expect(findUpstream(again, "bindery-1").GetNumber()).To(BeEquivalentTo(3), "added again at the same address")
	moved := mustBuild(g, again, strings.Replace(validYAML, "127.1.2.51:9000", "127.1.2.59:9000", 1), 3)
	g.Expect(findUpstream(moved, "bindery-2").GetNumber()).To(BeEquivalentTo(4), "another address")
	other := mustBuild(g, moved, strings.Replace(validYAML, "127.2.1.1:8001", "127.2.3.1:8001", 1), 4)
	g.Expect(other.GetServices()[0].GetNumber()).To(BeEquivalentTo(3), "another service address")
	g.Expect(other.GetServices()[1].GetNumber()).To(BeEquivalentTo(2))
}

// Guards against upstream numbers that are assigned again in any sequence of additions and removals.
func TestNumbersAreNeverReusedInAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c := mustBuild(g, nil, validYAML, 0)
		removed := map[uint32]bool{}
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := fmt.Sprintf("extra-%d", rapid.IntRange(1, 3).Draw(t, "upstream"))
			address := netip.MustParseAddrPort("127.1.1.7" + name[6:] + ":9000")
			u := declaration.Upstream{Name: name, Service: "galerij", Zone: "schuur", Address: address, Slots: 1}
			next, err := declaration.AddUpstream(c, u, changeAt(time.Duration(i)*time.Second))
			if err != nil {
				g.Expect(err).To(MatchError(declaration.ErrDuplicateName))
				next, err = declaration.RemoveUpstream(c, "", name, true, changeAt(time.Duration(i)*time.Second))
				g.Expect(err).NotTo(HaveOccurred())
				removed[findUpstream(c, name).GetNumber()] = true
			} else {
				g.Expect(removed).NotTo(HaveKey(findUpstream(next, name).GetNumber()))
			}
			g.Expect(next.GetGeneration()).To(Equal(c.GetGeneration() + 1))
			c = next
		}
	})
}

// Guards against a declaration without states that makes a draining upstream or daemon active again.
func TestOmittedStateIsKept(t *testing.T) {
	g := NewWithT(t)
	c := mustBuild(g, nil, validYAML, 0)
	c, err := declaration.SetUpstreamState(c, "bindery", "bindery-1", pb.DeclaredState_DECLARED_STATE_DRAINING, changeAt(time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	c, err = declaration.SetDaemonState(c, "schuur-1", pb.DeclaredState_DECLARED_STATE_DRAINING, changeAt(2*time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	next := mustBuild(g, c, strings.Replace(validYAML, "weight: 3", "weight: 2", 1), 3*time.Second)
	u := findUpstream(next, "bindery-1")
	g.Expect(u.GetState()).To(Equal(pb.DeclaredState_DECLARED_STATE_DRAINING))
	g.Expect(u.GetDrainingSinceMs()).To(Equal(startTime.Add(time.Second).UnixMilli()))
	g.Expect(next.GetDaemons()[0].GetState()).To(Equal(pb.DeclaredState_DECLARED_STATE_DRAINING))
}

// Guards against a declaration of another deployment that is accepted, and against a summary that does not
// name the upstreams whose flows a removal ends.
func TestDestructiveDeclarationsAreReported(t *testing.T) {
	g := NewWithT(t)
	c := mustBuild(g, nil, validYAML, 0)
	other, errs := declaration.Parse("d.yaml", []byte(strings.Replace(validYAML, "hopkrans-hoeve", "kelpiestone", 1)))
	g.Expect(errs).To(BeEmpty())
	g.Expect(declaration.CheckDeployment(c, other)).To(MatchError(declaration.ErrOtherDeployment))
	g.Expect(declaration.CheckDeployment(nil, other)).To(Succeed())
	without, err := declaration.RemoveUpstream(c, "", "bindery-1", true, changeAt(time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(declaration.Differences(c, without)).To(ConsistOf(
		"bindery: remove upstream bindery-1 at 127.1.1.51:9000, number 1, which is not draining: its flows end"))
}

// Guards against table versions that are dropped while established flows may depend on them, and against
// versions that are never dropped.
func TestTableVersionsAreKeptWhileNeeded(t *testing.T) {
	g := NewWithT(t)
	withWeight := func(w int) string { return strings.Replace(validYAML, "weight: 3", fmt.Sprintf("weight: %d", w), 1) }
	bindery := func(c *pb.Configuration) *pb.Service { return c.GetServices()[0] }
	c := mustBuild(g, nil, validYAML, 0)
	g.Expect(bindery(c).GetPrevious()).To(BeEmpty())
	c = mustBuild(g, c, withWeight(4), time.Minute)
	g.Expect(bindery(c).GetTableGeneration()).To(BeEquivalentTo(2))
	g.Expect(bindery(c).GetTableSinceMs()).To(Equal(startTime.Add(time.Minute).UnixMilli()))
	g.Expect(bindery(c).GetPrevious()).To(HaveLen(1))
	g.Expect(bindery(c).GetPrevious()[0].GetGeneration()).To(BeEquivalentTo(1))
	g.Expect(c.GetServices()[1].GetTableGeneration()).To(BeEquivalentTo(1), "the other service")
	// The idle limit of bindery is 5 min: the first version ended 7 min ago, and the second ends now.
	late := mustBuild(g, c, withWeight(5), 8*time.Minute)
	g.Expect(bindery(late).GetPrevious()).To(HaveLen(1))
	g.Expect(bindery(late).GetPrevious()[0].GetGeneration()).To(BeEquivalentTo(2))
	drained, err := declaration.SetUpstreamState(c, "bindery", "bindery-1", pb.DeclaredState_DECLARED_STATE_DRAINING, changeAt(2*time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(mustBuild(g, drained, withWeight(6), time.Hour).GetServices()[0].GetPrevious()).To(HaveLen(3), "needed by a draining upstream")

	for i := range 40 {
		c = mustBuild(g, c, withWeight(i%2+5), time.Minute+time.Duration(i+1)*time.Second)
	}
	versions := bindery(c).GetPrevious()
	g.Expect(versions).To(HaveLen(declaration.MaxTableVersions))
	for i := 1; i < len(versions); i++ {
		g.Expect(versions[i].GetGeneration()).To(BeNumerically("<", versions[i-1].GetGeneration()), "newest first")
	}
	oldest := versions[len(versions)-1]
	g.Expect(oldest.GetEntries()).To(BeEmpty(), "the oldest version replaces the dropped ones")
	g.Expect(oldest.GetSinceMs()).To(Equal(startTime.UnixMilli()))
}

// Guards against invalid edits that are accepted, refusals without a typed error, and edits that modify
// their input.
func TestEditsAreRefusedWithTypedErrors(t *testing.T) {
	g := NewWithT(t)
	c := mustBuild(g, nil, validYAML, 0)
	before := proto.CloneOf(c)
	at := changeAt(time.Second)
	u := declaration.Upstream{Name: "new", Service: "bindery", Zone: "schuur", Address: netip.MustParseAddrPort("127.1.1.60:9000"), Slots: 2}
	add := func(change func(u *declaration.Upstream)) error {
		altered := u
		change(&altered)
		_, err := declaration.AddUpstream(c, altered, at)
		return err
	}
	g.Expect(add(func(*declaration.Upstream) {})).To(Succeed())
	g.Expect(add(func(u *declaration.Upstream) { u.Service = "x" })).To(MatchError(declaration.ErrUnknownService))
	g.Expect(add(func(u *declaration.Upstream) { u.Zone = "x" })).To(MatchError(declaration.ErrUnknownZone))
	g.Expect(add(func(u *declaration.Upstream) { u.Name = "schuur-1" })).To(MatchError(declaration.ErrDuplicateName))
	g.Expect(add(func(u *declaration.Upstream) { u.Address = netip.MustParseAddrPort("127.1.1.51:9000") })).To(MatchError(declaration.ErrDuplicateAddress))
	g.Expect(add(func(u *declaration.Upstream) { u.Slots = 0 })).To(MatchError(declaration.ErrInvalidValue))
	_, err := declaration.RemoveUpstream(c, "bindery", "bindery-1", false, at)
	g.Expect(err).To(MatchError(declaration.ErrNotDraining))
	_, err = declaration.RemoveUpstream(c, "", "x", true, at)
	g.Expect(err).To(MatchError(declaration.ErrUnknownUpstream))
	_, err = declaration.SetUpstreamState(c, "galerij", "bindery-1", pb.DeclaredState_DECLARED_STATE_DRAINING, at)
	g.Expect(err).To(MatchError(declaration.ErrUnknownUpstream))
	_, err = declaration.SetDaemonState(c, "x", pb.DeclaredState_DECLARED_STATE_DRAINING, at)
	g.Expect(err).To(MatchError(declaration.ErrUnknownDaemon))
	_, err = declaration.SetAim(c, "bindery", pb.Aim_AIM_UNSPECIFIED, at)
	g.Expect(err).To(MatchError(declaration.ErrInvalidValue))
	_, err = declaration.SetLimits(c, "bindery", declaration.Limits{LoadBoundPercent: 90}, at)
	g.Expect(err).To(MatchError(declaration.ErrInvalidValue))
	next, err := declaration.SetLimits(c, "bindery", declaration.Limits{IdleLimit: time.Hour}, at)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.GetServices()[0].GetLimits().GetIdleLimitMs()).To(BeEquivalentTo(3_600_000))
	g.Expect(next.GetHistory()[0].GetSummary()).To(ContainSubstring("bindery: limits are"))
	g.Expect(proto.Equal(c, before)).To(BeTrue())
}
