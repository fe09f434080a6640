package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/config/declaration"
	standin "github.com/fulmarfield/fulmarfield/standin/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

func call(p *standin.Platform, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Guards against faults that cannot be set or read over HTTP, and against a misspelt fault name
// that is silently ignored.
func TestAdminPathSwitchesFaults(t *testing.T) {
	g := NewWithT(t)
	p := standin.New(standin.Options{})
	g.Expect(call(p, http.MethodPut, standin.PathFaults, `{"outage":true,"delay_ns":1000000,"lose_next":3,"cut":["127.0.2.0/24"]}`).Code).To(Equal(http.StatusNoContent))
	g.Expect(p.Faults()).To(Equal(standin.Faults{
		Outage: true, Delay: time.Millisecond, LoseNext: 3, Cut: []netip.Prefix{netip.MustParsePrefix("127.0.2.0/24")},
	}))
	g.Expect(call(p, http.MethodGet, store.PathObjects+"/key", "").Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(call(p, http.MethodPut, standin.PathFaults, `{"outtage":true}`).Code).To(Equal(http.StatusBadRequest))
	g.Expect(call(p, http.MethodPut, standin.PathFaults, `{}`).Code).To(Equal(http.StatusNoContent))
	g.Expect(call(p, http.MethodGet, store.PathObjects+"/key", "").Code).To(Equal(http.StatusNotFound))
	var calls map[string]int64
	g.Expect(json.Unmarshal(call(p, http.MethodGet, standin.PathCalls, "").Body.Bytes(), &calls)).To(Succeed())
	g.Expect(calls).To(Equal(map[string]int64{"get": 2}))
	g.Expect(call(p, http.MethodDelete, standin.PathCalls, "").Code).To(Equal(http.StatusNoContent))
	g.Expect(p.Calls()).To(BeEmpty())
}

// Guards against a VM list that differs from the published deployment or its address plan.
func TestDeploymentFillsTheVMList(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../deployments/kelpiestone-engraving.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	d, faults := declaration.Parse("kelpiestone-engraving.yaml", data)
	g.Expect(faults).To(BeEmpty())
	p := standin.New(standin.Options{})
	p.PutDeployment(d)
	g.Expect(call(p, http.MethodPut, standin.PathVM+"tay-d-1", `{"kind":"daemon","zone":"tay-d","state":"leaving"}`).Code).To(Equal(http.StatusNoContent))
	vms, err := p.Store(netip.Addr{}).ListVMs(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(vms).To(HaveLen(6 + 15 + 4))
	for _, vm := range vms {
		switch vm.Name {
		case "tay-b-2":
			g.Expect(vm.PeerAddress.String()).To(Equal("127.1.2.2:7001"))
			g.Expect(vm.ControlAddress.String()).To(Equal("127.1.2.2:7002"))
		case "tay-d-1":
			g.Expect(vm.State).To(Equal(store.StateLeaving))
		case "sheet-print-1":
			g.Expect(vm.DataAddress.String()).To(Equal("127.1.1.55:9000"))
		}
	}
	g.Expect(call(p, http.MethodDelete, standin.PathVM+"tay-d-1", "").Code).To(Equal(http.StatusNoContent))
	g.Expect(p.Store(netip.Addr{}).ListVMs(context.Background())).To(HaveLen(24))
}
