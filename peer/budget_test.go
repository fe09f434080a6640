package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/peer"
)

// Guards against paced traffic that goes on at the full rate while other traffic uses it, against
// a debt that is forgotten or grows without bound, and against a loss of what was saved.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := peer.NewBudget(100, 1000)
		g.Expect(b.Take(time.Now(), 600, 500)).To(BeFalse(), "less than the reserve would be left")
		g.Expect(b.Take(time.Now(), 600, 400)).To(BeTrue())
		b.Spend(250)
		g.Expect(b.Left(time.Now())).To(Equal(400), "what was saved stays")
		g.Expect(b.Take(time.Now(), 400, 0)).To(BeTrue())
		time.Sleep(2 * time.Second)
		g.Expect(b.Take(time.Now(), 1, 0)).To(BeFalse(), "the debt is paid first")
		time.Sleep(time.Second)
		g.Expect(b.Left(time.Now())).To(Equal(50))
		b.Spend(100_000)
		time.Sleep(21 * time.Second)
		g.Expect(b.Left(time.Now())).To(Equal(150), "a debt is at most what 20 s allow")
		b.Spend(-20)
		g.Expect(b.Left(time.Now())).To(Equal(170), "returned")
		time.Sleep(time.Minute)
		g.Expect(b.Left(time.Now())).To(Equal(1000), "no more than the burst")
	})
}
