package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/peer"
)

// Guards against paced traffic that is sent while other traffic has used the budget, and
// against a debt that is forgotten.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := peer.NewBudget(100, 1000)
		g.Expect(b.Take(time.Now(), 600, 500)).To(BeFalse(), "less than the reserve would be left")
		g.Expect(b.Take(time.Now(), 600, 400)).To(BeTrue())
		b.Spend(900)
		g.Expect(b.Left(time.Now())).To(Equal(-500))
		time.Sleep(5 * time.Second)
		g.Expect(b.Take(time.Now(), 1, 0)).To(BeFalse(), "the debt is paid first")
		time.Sleep(time.Second)
		g.Expect(b.Take(time.Now(), 100, 0)).To(BeTrue())
		time.Sleep(time.Minute)
		g.Expect(b.Left(time.Now())).To(Equal(1000), "no more than the burst")
	})
}
