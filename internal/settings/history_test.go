package settings

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Guards against a history that lists changes twice or keeps reading after the
// oldest entry when retention has deleted older entries.
func TestHistoryStopsAtOldestEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	table := infratest.NewTable()
	put := func(key string, value any) {
		data, err := msgpack.Marshal(value)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = table.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: key, Value: data}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	put(headKey, head{Version: 100})
	for v := uint64(92); v <= 100; v++ {
		put(logKey(v), Entry{Version: v, Path: "/"})
	}
	m := &Manager{store: store{table, 5}}
	entries, refusal := m.History(t.Context(), "", 50)
	g.Expect(refusal).To(gomega.BeNil())
	versions := make([]uint64, len(entries))
	for i, e := range entries {
		versions[i] = e.Version
	}
	g.Expect(versions).To(gomega.Equal([]uint64{100, 99, 98, 97, 96, 95, 94, 93, 92}))
	g.Expect(table.Reads()).To(gomega.BeNumerically("==", 3))
}
