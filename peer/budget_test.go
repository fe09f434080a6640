package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/peer"
)

// Guards against paced traffic that is still sent at the full rate while other traffic uses the rate,
// against a debt that is dropped or grows without bound, and against a debt that removes tokens that
// are already in the bucket.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := peer.NewBudget(100, 1000)
		g.Expect(b.TryTake(time.Now(), 600, 500)).To(BeFalse(), "fewer tokens than the reserve would remain")
		g.Expect(b.TryTake(time.Now(), 600, 400)).To(BeTrue())
		b.Spend(250)
		g.Expect(b.Available(time.Now())).To(Equal(400), "a debt removes no tokens from the bucket")
		g.Expect(b.TryTake(time.Now(), 400, 0)).To(BeTrue())
		time.Sleep(2 * time.Second)
		g.Expect(b.TryTake(time.Now(), 1, 0)).To(BeFalse(), "the debt is repaid first")
		time.Sleep(time.Second)
		g.Expect(b.Available(time.Now())).To(Equal(50))
		b.Spend(100_000)
		time.Sleep(21 * time.Second)
		g.Expect(b.Available(time.Now())).To(Equal(150), "the debt is limited to the bytes of 20 s")
		b.Spend(-20)
		g.Expect(b.Available(time.Now())).To(Equal(170), "a negative number returns tokens")
		time.Sleep(time.Minute)
		g.Expect(b.Available(time.Now())).To(Equal(1000), "the bucket holds at most the burst")
	})
}
