package settings

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// staleLog answers the first reads of log rows as if the rows were absent.
type staleLog struct {
	*infratest.Table
	absent int
}

func (s *staleLog) Get(ctx context.Context, key string) (infra.Row, error) {
	if strings.HasPrefix(key, logPrefix) && s.absent > 0 {
		s.absent--
		return infra.Row{}, infra.ErrNotFound
	}
	return s.Table.Get(ctx, key)
}

// Guards against a change that took effect and is reported as refused because
// the answer was lost and the log row was not visible at first.
func TestCommitReadsBackUntilKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := &staleLog{Table: infratest.NewTable(), absent: 3}
		s := store{table: table, scanPage: 10}
		entry := Entry{Version: 1, Path: "/", ChangeID: "own"}
		table.SetFaultPlan(infratest.FaultPlan{LoseAnswers: 1})
		result, err := s.commit(t.Context(), entry, 0, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(result).To(gomega.Equal(outcomeAccepted))

		other := entry
		other.ChangeID = "other"
		result, _ = s.commit(t.Context(), other, 0, 0)
		g.Expect(result).To(gomega.Equal(outcomeConflict))
		table.SetFaultPlan(infratest.FaultPlan{Down: true})
		result, _ = s.commit(t.Context(), other, 0, 0)
		g.Expect(result).To(gomega.Equal(outcomeUnavailable))
	})
}
