package platformnode

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a confirmation that gets younger on its way between nodes, one of before
// the start of the process that counts from the start, and one that a later, older answer
// takes back. The load it answers: nodes restart while the store is away from all.
func TestConfirmationIsTheLatest(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	var c confirmation
	_, ok := c.at(now)
	g.Expect(ok).To(gomega.BeFalse())
	for _, age := range []time.Duration{time.Hour, 20 * time.Second, time.Minute} {
		c.confirm(now.Add(-age))
	}
	at, ok := c.at(now)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(now.Sub(at)).To(gomega.Equal(20 * time.Second))
}
