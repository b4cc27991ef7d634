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

// hiddenLogTable returns infra.ErrNotFound for the first hiddenReads reads of log
// rows, as if the rows did not exist yet.
type hiddenLogTable struct {
	*infratest.Table
	hiddenReads int
}

func (s *hiddenLogTable) Get(ctx context.Context, key string) (infra.Row, error) {
	if strings.HasPrefix(key, logPrefix) && s.hiddenReads > 0 {
		s.hiddenReads--
		return infra.Row{}, infra.ErrNotFound
	}
	return s.Table.Get(ctx, key)
}

// Guards against a committed change that is reported as refused. It comes about
// when the response to the commit is lost, the retry meets a conflict and the
// change's log row is not visible to the first reads.
func TestCommitReadsBackUntilKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := &hiddenLogTable{Table: infratest.NewTable(), hiddenReads: 3}
		s := store{table: table, scanPageRows: 10}
		entry := Entry{Version: 1, Path: "/", ChangeID: "own"}
		table.SetFaultPlan(infratest.FaultPlan{LoseResponses: 1})
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
