package quota

import (
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// Load: 580 organisations, of which 400 nodes in three data centres keep ledgers. The sizes
// are those of docs/CAPACITY.md.
func TestSizes(t *testing.T) {
	org, limit := core.Org("organisation-0123"), Limit{PerSecond: 12.8, Burst: 25.6}
	size := func(m any) int {
		body, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(body)
	}
	returns := []returned{{Count: 3, Age: 212 * time.Millisecond}}
	ask := size(&askRequest{Org: org, Limit: limit, Needed: 1, Advance: 2, Returns: returns})
	answer := size(&askAnswer{Granted: 3, Rate: 4.2666, Use: 2.11, Owner: "front-0123"})
	pass := size(&passRequest{Org: org, Limit: limit, Count: 1.5}) + size(&passAnswer{Count: 0.75})
	notice := size(&returnNotice{Org: org, Returns: returns})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledgers := make([]*ownedLedger, 1000)
	for i := range ledgers {
		ledgers[i] = &ownedLedger{ledger: NewLedger(limit, dataCentreRight(3), time.Now())}
	}
	runtime.ReadMemStats(&after)
	perLedger := int(after.HeapAlloc-before.HeapAlloc) / len(ledgers)
	runtime.ReadMemStats(&before)
	accounts := make([]*nodeAccount, 1000)
	for i := range accounts {
		accounts[i] = &nodeAccount{org: org, alone: NewLedger(limit, loneRight(400, 3), time.Now())}
	}
	runtime.ReadMemStats(&after)
	perAccount := int(after.HeapAlloc-before.HeapAlloc) / len(accounts)
	t.Logf("bytes: ask %d, answer %d, pass and its answer %d, return %d, ledger %d, account %d", ask, answer, pass, notice, perLedger, perAccount)
	for name, check := range map[string]struct{ size, most int }{
		"ask": {ask, 100}, "answer": {answer, 60}, "pass": {pass, 80}, "return": {notice, 50},
		"ledger": {perLedger, 4096}, "account": {perAccount, 4096},
	} {
		if check.size > check.most {
			t.Errorf("%s takes %d bytes, more than %d", name, check.size, check.most)
		}
	}
	runtime.KeepAlive(ledgers)
	runtime.KeepAlive(accounts)
}
