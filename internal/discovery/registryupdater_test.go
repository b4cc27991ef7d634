package discovery

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/replica"
)

// decodeTest takes every row for a replica whose value is not "odd".
func decodeTest(row *infra.VersionedRow) (replica.Info, error) {
	if string(row.Value) == "odd" {
		return replica.Info{}, errors.New("is odd")
	}
	return replica.Info{ID: core.ReplicaID(row.Key), Service: "m", Slots: 1}, nil
}

// Guards against a log line for each time that another writer writes an odd row, and
// against one odd row that removes other replicas.
func TestOddRowIsLoggedOnceAndRemovesOnlyItsReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	registry := replica.NewRegistry()
	u := NewRegistryUpdater(registry, decodeTest, slog.New(slog.NewTextHandler(&log, nil)))
	u.Watcher(infratest.NewRows(), "t")
	version := uint64(0)
	row := func(key, value string) infra.VersionedRow {
		version++
		return infra.VersionedRow{RowKey: infra.RowKey{Key: key}, Value: []byte(value), Version: version}
	}
	lines := func() int { return strings.Count(log.String(), "registration ignored: ") }

	u.Snapshot([]infra.VersionedRow{row("a", "sound"), row("b", "odd"), row("c", "sound")})
	for range 5 {
		u.Changed([]infra.VersionedRow{row("b", "odd"), row("a", "odd")})
	}
	g.Expect(lines()).To(gomega.Equal(2))
	g.Expect(registry.All()).To(gomega.HaveLen(1))
	g.Expect(registry.Get("c")).NotTo(gomega.BeNil())

	u.Changed([]infra.VersionedRow{row("a", "sound")})
	u.Changed([]infra.VersionedRow{row("a", "odd")})
	g.Expect(lines()).To(gomega.Equal(3), "a row that became odd again is news")
	u.Snapshot([]infra.VersionedRow{row("c", "sound")})
	g.Expect(u.ignored).To(gomega.BeEmpty())
}
