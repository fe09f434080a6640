package declaration_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// Guards against deployment files of the repository that do not parse or that differ from the specified
// numbers of daemons, upstreams and slots.
func TestPublishedDeploymentsAreValid(t *testing.T) {
	for name, slots := range map[string]uint32{"hopkrans-hoeve": 2, "kelpiestone-engraving": 3} {
		g := NewWithT(t)
		file := filepath.Join("..", "..", "deployments", name+".yaml")
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		d, errs := declaration.Parse(file, data)
		g.Expect(errs).To(BeEmpty())
		g.Expect(d.Deployment).To(Equal(name))
		g.Expect(d.Daemons).To(HaveLen(6))
		c, summary := declaration.Build(nil, d, "first", "operator", time.UnixMilli(1000))
		g.Expect(summary).NotTo(BeEmpty())
		g.Expect(c.GetServices()[0].GetUpstreams()).To(HaveLen(15))
		g.Expect(c.GetServices()[1].GetUpstreams()).To(HaveLen(4))
		for _, s := range c.GetServices() {
			for _, u := range s.GetUpstreams() {
				g.Expect(u.GetSlots()).To(Equal(slots))
			}
		}
	}
}
