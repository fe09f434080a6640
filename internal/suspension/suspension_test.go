package suspension_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/internal/suspension"
)

// Guards against time that passes while the VM runs and counts as a suspension.
func TestRunningTimeIsNoSuspension(t *testing.T) {
	g := NewWithT(t)
	before, err := suspension.Total()
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(30 * time.Millisecond)
	after, err := suspension.Total()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after - before).To(BeNumerically("~", 0, 10*time.Millisecond))
}
