package promptcache

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
)

func prompt(lengths ...int) []Part {
	var parts []Part
	for i, n := range lengths {
		parts = Append(parts, fmt.Sprint(i, "/", n), n)
	}
	return parts
}

// A part is kept only together with all parts before it.
func TestPartIsIdentifiedWithAllBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	ab, b := Append(Append(nil, "a", 10), "b", 20), Append(nil, "b", 20)
	v, p := NewView(), Process{Replica: "r"}
	v.Sent(p, ab, 1000)
	g.Expect(v.Match(p, ab)).To(gomega.Equal(30))
	g.Expect(v.Match(p, ab[:1])).To(gomega.Equal(10))
	g.Expect(v.Match(p, b)).To(gomega.BeZero())
}

// A replica that starts again, with or without other software, keeps nothing.
func TestRestartedReplicaKeepsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	v, parts := NewView(), prompt(100, 50)
	v.Sent(Process{Replica: "r", Started: 1}, parts, 1000)
	g.Expect(v.Match(Process{Replica: "r", Started: 1}, parts)).To(gomega.Equal(150))
	g.Expect(v.Match(Process{Replica: "r", Started: 2}, parts)).To(gomega.BeZero())
	g.Expect(v.Match(Process{Replica: "r", Started: 1, Version: "2"}, parts)).To(gomega.BeZero())
	v.Retain(func(core.ReplicaID) bool { return false })
	g.Expect(v.Match(Process{Replica: "r", Started: 1}, parts)).To(gomega.BeZero())
}

// naiveKept is a list of parts, the one used last in front.
type naiveKept []Part

func (k naiveKept) use(parts []Part, capacity int) naiveKept {
	for _, p := range slices.Backward(parts) {
		k = slices.DeleteFunc(k, func(o Part) bool { return o.Chain == p.Chain })
		k = slices.Insert(k, 0, p)
	}
	for len(k) > 0 && (Tokens(k) > capacity || len(k) > maxPartsPerReplica) {
		k = k[:len(k)-1]
	}
	return k
}

// For any sequence of prompts, a replica keeps what a plain list by time of use keeps.
func TestKeptPartsAreThoseUsedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 300).Draw(t, "capacity")
		k, naive := newKept(capacity), naiveKept{}
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			parts := prompt(rapid.SliceOfN(rapid.IntRange(1, 40), 1, 4).Draw(t, "lengths")...)
			k.use(parts)
			naive = naive.use(parts, capacity)
			expected := 0
			for _, p := range parts {
				if !slices.ContainsFunc(naive, func(o Part) bool { return o.Chain == p.Chain }) {
					break
				}
				expected += p.Tokens
			}
			if got := k.match(parts); got != expected || k.tokens != Tokens(naive) || len(k.index) != len(naive) {
				t.Fatalf("keeps %d tokens of the prompt and %d in all, expected %d and %d", got, k.tokens, expected, Tokens(naive))
			}
		}
	})
}

// Prompts that never come again must not make the view grow.
func TestViewIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	k := newKept(1 << 30)
	for i := range 10 * maxPartsPerReplica {
		k.use(Append(nil, fmt.Sprint(i), 1))
	}
	g.Expect(k.index).To(gomega.HaveLen(maxPartsPerReplica))
	g.Expect(len(k.entries)).To(gomega.BeNumerically("<=", maxPartsPerReplica+1))
}

// BenchmarkMatch is the cost of one request at a hub with 96 replicas.
func BenchmarkMatch(b *testing.B) {
	v, parts := NewView(), prompt(100, 100, 250)
	var processes []Process
	for i := range 96 {
		p := Process{Replica: core.ReplicaID(fmt.Sprint("replica-", i))}
		for j := range 300 {
			v.Sent(p, Append(parts[:1:1], fmt.Sprint(i, j), 100), 147_000)
		}
		processes = append(processes, p)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, p := range processes {
			v.Match(p, parts)
		}
	}
}
