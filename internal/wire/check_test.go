package wire

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// Guards against a few bytes that exhaust the memory or the stack of a process: an
// array that says it has 4 billion elements, and arrays within arrays.
func TestMalformedDataIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	var list []struct{ A, B, C string }
	for name, data := range map[string][]byte{
		"huge array": {0xdd, 0xff, 0xff, 0xff, 0xff}, "huge map": {0xdf, 0xff, 0xff, 0xff, 0xff}, "empty": {},
		"huge string": {0xdb, 0x7f, 0xff, 0xff, 0xff, 'a'}, "huge extension": {0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		"nested": bytes.Repeat([]byte{0x91}, 1<<20), "many": append([]byte{0xdd, 0, 8, 0, 0}, make([]byte, 1<<19)...),
		"unknown code": {0xc1}, "short number": {0xcf, 1, 2},
	} {
		g.Expect(Unmarshal(data, &list)).NotTo(gomega.Succeed(), name)
	}
}

// value draws values of the kinds that messages have, up to a depth.
func value(depth int) *rapid.Generator[any] {
	leaves := []*rapid.Generator[any]{
		rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Float64().AsAny(), rapid.Bool().AsAny(), rapid.String().AsAny(),
		rapid.SliceOfN(rapid.Byte(), 0, 70000).AsAny(), rapid.Just[any](nil), rapid.Just[any](time.Unix(1, 2)),
	}
	if depth > 0 {
		leaves = append(leaves, rapid.SliceOfN(value(depth-1), 0, 40).AsAny(), rapid.MapOfN(rapid.String(), value(depth-1), 0, 20).AsAny())
	}
	return rapid.OneOf(leaves...)
}

// Guards against refusing a well-formed message, and against accepting one that is cut.
func TestWellFormedDataIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := msgpack.Marshal(value(3).Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(data); err != nil && !errors.Is(err, errElements) {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if Check(data[:cut]) == nil {
			t.Fatalf("accepted %d of %d bytes", cut, len(data))
		}
	})
}

// BenchmarkCheck measures the check of a message of usual size: the counts of a node at
// 40 replicas.
func BenchmarkCheck(b *testing.B) {
	type counts struct {
		ID                              string
		Online, Batch, Slowdown, Report int
	}
	data, err := msgpack.Marshal(make([]counts, 40))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := Check(data); err != nil {
			b.Fatal(err)
		}
	}
}
