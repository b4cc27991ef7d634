package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against messages of other nodes and stored state that end the process or fill
// the list of a node, whatever their bytes are.
func FuzzMessagesAndStoredState(f *testing.F) {
	for _, seed := range []any{
		&report{Service: "m", Replica: "i", Parts: []Part{"f", "bad"}, Trials: []Notice{{Part: "bad", Round: 1, Remaining: time.Second}}},
		&witnessRequest{Parts: []Part{"f"}}, []Notice{{Part: "bad", Round: 3, Lifted: true}},
		[]storedEntry{{Part: "bad", Round: 1, Until: time.Minute}},
		&evidence{Parts: []Part{"f", "bad"}, Harmless: []int{0}, Crashes: []crashEvidence{{Service: "m", Replica: "i", At: 59 * time.Second, Runs: [][]int{{0, 1}}, Cleared: []int{0}}}},
	} {
		data, err := msgpack.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}) // an array that claims to be huge
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newTestFleet(t, 1)
			s := fleet.services["n0"]
			for _, handler := range s.Messenger.(*fakeMessenger).handlers {
				_, _ = handler(context.Background(), "n1", data)
			}
			_, _ = s.Reconcile(data, time.Minute)
			update, _ := s.Crashes().Reconcile(data, time.Minute)
			_, _ = s.Crashes().Reconcile(update, time.Minute)
			update, _ = s.Suspicions().Reconcile(data, time.Minute)
			_, _ = s.Suspicions().Reconcile(update, time.Minute)
			_, _ = s.Blocked([]Part{"bad"})
			if n := len(s.Entries()); n > maxEntries {
				t.Errorf("%d entries", n)
			}
			time.Sleep(decisionTime) // until the work that the messages have started is done
		})
	})
}
