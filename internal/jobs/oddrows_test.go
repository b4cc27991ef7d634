package jobs

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// nestedValue returns a value that is nested so deeply that a decoder that follows it
// needs above 1 GB of stack, which ends the process.
func nestedValue() []byte {
	return append([]byte{0x81, 0xa1, 'x'}, append(bytes.Repeat([]byte{0x91}, 8<<20), 0xc0)...)
}

// Guards against rows and objects of another writer that end the process, or hide the
// jobs of other rows.
func TestOddJobRowsAndObjectsHideNoJob(t *testing.T) {
	g := gomega.NewWithT(t)
	cache := NewJobCache(slog.New(slog.DiscardHandler))
	record, err := msgpack.Marshal(&Record{ID: "sound", State: StateOpen})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rows := []infra.VersionedRow{
		{RowKey: jobKey("empty"), Version: 1}, {RowKey: jobKey("nil"), Value: []byte{0xc0}, Version: 2},
		{RowKey: jobKey("another"), Value: record, Version: 3}, {RowKey: jobKey("nested"), Value: nestedValue(), Version: 4},
		{RowKey: jobKey("claims"), Value: []byte{0xdf, 0xff, 0xff, 0xff, 0xff}, Version: 5}, {RowKey: jobKey("sound"), Value: record, Version: 6},
	}
	cache.Snapshot(rows)
	cache.Changed(rows)
	g.Expect(cache.Select(func(*Entry) bool { return true })).To(gomega.HaveLen(1))
	_, known := cache.Get("sound")
	g.Expect(known).To(gomega.BeTrue())

	objects := infratest.NewObjects()
	g.Expect(objects.Put(context.Background(), "o", nestedValue())).To(gomega.Succeed())
	s := &store{objects: objects}
	_, err = s.items(t.Context(), "o")
	g.Expect(err).To(gomega.HaveOccurred())
}
