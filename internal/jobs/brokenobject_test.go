package jobs

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// Guards against a broken answer for an object that passes for the items of a job, of
// which callers are then told that they do not exist, and that nobody runs.
func TestBrokenItemsAreNotMissing(t *testing.T) {
	f := newFixture(t, "a/1")
	items := []Item{{ID: "i0", Body: []byte("b0")}, {ID: "i1", Body: []byte("b1")}}
	whole, err := msgpack.Marshal(items)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	first, err := msgpack.Marshal(items[:1])
	f.Expect(err).NotTo(gomega.HaveOccurred())
	for name, object := range map[string][]byte{
		"empty": nil, "nil": {0xc0}, "no items": {0x90}, "one of two": first, "cut": whole[:len(whole)-1], "bytes after it": append(whole[:len(whole):len(whole)], 0), "text": []byte("busy"),
	} {
		record := Record{ID: strings.ReplaceAll(name, " ", "-"), State: StateOpen, Object: "o-" + name, Total: len(items)}
		f.Expect(f.store.objects.Put(t.Context(), record.Object, object)).To(gomega.Succeed())
		_, err := f.store.put(t.Context(), &record, 0)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		reader := &Reader{store: f.store, cache: f.runner.cache, jobItems: newItemCache()}
		body, err := reader.ItemBody(t.Context(), record.ID, "i1")
		f.Expect(err).To(gomega.MatchError(infra.ErrUnavailable), "%s: %q", name, body)
		_, err = f.store.itemsOf(t.Context(), &record) // what claimed jobs begin with
		f.Expect(err).To(gomega.HaveOccurred(), name)
	}
}

// Guards against a broken answer for an object that passes for the text of a result.
func TestBrokenTextIsNoResult(t *testing.T) {
	f := newFixture(t, "a/1")
	for name, c := range map[string]struct {
		text  string
		whole bool
	}{
		"empty": {"", false}, "error": {"busy", false}, "whole": {strings.Repeat("x", maxInlineText+1), true},
	} {
		record := Record{ID: name, State: StateOpen, Total: 1}
		_, err := f.store.put(t.Context(), &record, 0)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(f.store.objects.Put(t.Context(), "text-"+name, []byte(c.text))).To(gomega.Succeed())
		value, err := msgpack.Marshal(&Result{Item: "i0", State: ItemSucceeded, Object: "text-" + name})
		f.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.rows.CommitRows(t.Context(), infra.RowTxn{Writes: []infra.RowWrite{{RowKey: resultKey(name, 0), Value: value}}})
		f.Expect(err).NotTo(gomega.HaveOccurred())
		reader := &Reader{store: f.store, cache: f.runner.cache}
		page, err := reader.Results(t.Context(), name, 0)
		if c.whole {
			f.Expect(err).NotTo(gomega.HaveOccurred())
			f.Expect(page.Results[0].Text).To(gomega.Equal(c.text))
		} else {
			f.Expect(err).To(gomega.MatchError(infra.ErrUnavailable), "%s: %v", name, page)
		}
	}
}
