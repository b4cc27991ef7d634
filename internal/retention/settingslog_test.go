package retention

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

func logKey(version uint64) string { return fmt.Sprintf("%s%020d", settings.LogPrefix, version) }

// Guards against a settings log that loses the entries from which nodes catch
// up, recent entries or entries in the middle, and against one that grows without
// limit.
func TestSettingsLogTruncation(t *testing.T) {
	const newest = settings.MinLogEntries + 10
	for name, c := range map[string]struct{ recent, first uint64 }{
		"the newest entries are kept":           {newest + 1, 11},
		"entries from a recent one on are kept": {5, 5},
		"a recent first entry keeps all others": {1, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := infratest.NewTable()
			for v := uint64(1); v <= newest; v++ {
				e := settings.Entry{Version: v, Time: time.Now().Add(-2 * testRetention.SettingsLog)}
				if v == c.recent {
					e.Time = time.Now().Add(10 * testRetention.SettingsLog)
				}
				data, err := msgpack.Marshal(e)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = table.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: logKey(v), Value: data}}})
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			snapshot := settings.NewSnapshot(settings.SnapshotInput{Version: newest, Retention: testRetention})
			ready := make(chan struct{})
			s := NewService(Options{
				Table: table, Objects: infratest.NewObjects(), Ready: ready, Settings: func() *settings.Snapshot { return snapshot },
				Members: func() *membership.View { return viewSelf },
			})
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Hour)
			defer cancel()
			go func() {
				time.Sleep(24 * time.Hour)
				g.Expect(table.Reads()).To(gomega.BeZero(), "before the settings are loaded")
				close(ready)
			}()
			s.Run(ctx)
			rows, err := table.Scan(t.Context(), settings.LogPrefix, "", newest+1)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(rows).To(gomega.HaveLen(int(newest-c.first+1)), name)
			g.Expect(rows[0].Key).To(gomega.Equal(logKey(c.first)), name)
		})
	}
}
