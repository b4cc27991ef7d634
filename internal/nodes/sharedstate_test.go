package nodes

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// wordSet is a shared state: a set of words, stored with spaces in between.
type wordSet map[string]bool

func (s wordSet) Reconcile(stored []byte, _ time.Duration) (update []byte, changed bool) {
	inStore := strings.Fields(string(stored))
	for _, word := range inStore {
		s[word] = true
	}
	words := make([]string, 0, len(s))
	for word := range s {
		words = append(words, word)
	}
	return []byte(strings.Join(words, " ")), len(words) > len(inStore)
}

// Guards against shared state that is lost when the nodes restart or leave, or when
// two of them store theirs at the same time, and that counts as a node.
func TestSharedStateOutlivesItsNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	rows := infratest.NewRows()
	a, b := newTestDirectory(rows, "a", "1"), newTestDirectory(rows, "b", "1")
	a.Share("words", wordSet{"x": true})
	inB := wordSet{"y": true}
	b.Share("words", inB)
	// b has read the table before a stored its state.
	clock, _ := rows.Clock()
	g.Expect(a.renew(ctx)).To(gomega.Succeed())
	b.reconcile(ctx, nil, clock)
	g.Expect(b.renewNow).To(gomega.HaveLen(1), "it tries again at once")
	g.Expect(b.renew(ctx)).To(gomega.Succeed())
	g.Expect(inB).To(gomega.HaveLen(2))
	g.Expect(aliveOwners(b)).To(gomega.ConsistOf("a/1", "b/1"))
	g.Expect(a.Leave(ctx)).To(gomega.Succeed())
	g.Expect(b.Leave(ctx)).To(gomega.Succeed())

	inC := wordSet{}
	c := newTestDirectory(rows, "c", "1")
	c.Share("words", inC)
	g.Expect(c.renew(ctx)).To(gomega.Succeed())
	g.Expect(inC).To(gomega.Equal(wordSet{"x": true, "y": true}))
	set, err := rows.Range(ctx, infra.RowRange{Table: Table})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(set.Rows).To(gomega.HaveLen(2), "the node and the state")
}
