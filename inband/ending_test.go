package inband

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// Guards against a reset of an open flow that rests on a part of its proof only.
func TestEndingNeedsWholeProof(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	known := catalog.New(func() time.Time { return now })
	incarnation := func(startedAt int64) *catalog.Upstream {
		return &catalog.Upstream{ID: "a", Key: catalog.IncarnationKey("a", startedAt), StartedAt: startedAt}
	}
	known.SetUpstreams([]*catalog.Upstream{incarnation(1)})
	first := known.Current().Latest("a")
	known.ApplyChanges([]*catalog.Upstream{incarnation(2)}, nil, nil)
	second := known.Current().Latest("a")
	openSince := func(at time.Time) *flow { return &flow{upstream: first, isOpen: true, openSince: at} }
	before, after := now.Add(-time.Second), now.Add(time.Second)
	finished := openSince(before)
	finished.isFinished = true

	for name, c := range map[string]struct {
		evidence evidence
		want     Reason
	}{
		"route removed":                        {evidence{upstream: first, isRouteRemoved: true}, ReasonNoRoute},
		"route removed, upstream unknown":      {evidence{isRouteRemoved: true}, ReasonNoRoute},
		"not listed":                           {evidence{isUnlisted: true}, ReasonUnknownToken},
		"unknown, no list yet":                 {evidence{}, ReasonNone},
		"unknown and silent":                   {evidence{isSilent: true, mayEndSilent: true}, ReasonNone},
		"known, but an earlier list lacked it": {evidence{upstream: first, isUnlisted: true}, ReasonNone},
		"deregistered":                         {evidence{upstream: first, status: catalog.StatusDeregistered, isUnlisted: true}, ReasonUpstreamDeregistered},
		"deregistered before the flow":         {evidence{upstream: first, status: catalog.StatusDeregistered}, ReasonNone},
		"missing":                              {evidence{upstream: first, status: catalog.StatusMissing}, ReasonNone},
		"no record of the registration":        {evidence{upstream: first, status: catalog.StatusUnknown}, ReasonNone},
		"older than the other incarnation":     {evidence{flow: openSince(before), upstream: second}, ReasonNone},
		"newer than the other incarnation":     {evidence{flow: openSince(after), upstream: second}, ReasonNone},
		"the same incarnation":                 {evidence{flow: openSince(before), upstream: first}, ReasonNone},
		"new to this daemon":                   {evidence{upstream: second}, ReasonNone},
		"not open yet":                         {evidence{flow: &flow{upstream: first}, upstream: second}, ReasonNone},
		"finished":                             {evidence{flow: finished, upstream: second}, ReasonNone},
		"silent":                               {evidence{upstream: first, isSilent: true, mayEndSilent: true}, ReasonUpstreamDead},
		"silent, but the request may have run": {evidence{upstream: first, isSilent: true}, ReasonNone},
		"responds":                             {evidence{upstream: first, mayEndSilent: true}, ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.evidence.ending()).To(Equal(c.want))
			g.Expect(c.want == ReasonNone).To(Equal(c.want.Proof() == ""))
		})
	}
}
