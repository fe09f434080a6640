package fleet

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/store"
)

// Guards against large configurations that travel whole over slow links, or that are deflated anew for
// each daemon, and against old ones that stay in the cache.
func TestLargeBodiesAreDeflatedOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBodies()
	body := bytes.Repeat([]byte(`{"name":"r-1","host":"198.18.0.1"},`), 2000)
	first, err := b.encode(store.Record{Name: "main", Version: 1, Body: body})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(first.GetDeflatedBody())).To(And(BeNumerically(">", 0), BeNumerically("<", len(body)/10)))
	again, err := b.encode(store.Record{Name: "main", Version: 1, Body: body})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(&again.GetDeflatedBody()[0]).To(BeIdenticalTo(&first.GetDeflatedBody()[0]))
	got, err := decode(first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(store.Record{Name: "main", Version: 1, Body: body}))
	next, err := b.encode(store.Record{Name: "main", Version: 2, Body: append(body, '0')})
	g.Expect(err).NotTo(HaveOccurred())
	got, err = decode(next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Body).To(HaveLen(len(body) + 1))
}

// Guards against bodies that fill the memory of the daemon that asked, and against broken ones that
// take the place of good records.
func TestBadBodiesAreRefused(t *testing.T) {
	g := NewWithT(t)
	huge, err := deflate(make([]byte, maxBodyBytes+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decode(&pb.StoredRecord{Name: "main", DeflatedBody: huge})
	g.Expect(err).To(MatchError(errBodyTooLarge))
	_, err = decode(&pb.StoredRecord{Name: "main", DeflatedBody: []byte{0xff, 0xff}})
	g.Expect(err).To(HaveOccurred())
	small, err := decode(&pb.StoredRecord{Name: "i-1", Version: 3, Body: []byte("{}")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(small.Body).To(Equal([]byte("{}")))
}
