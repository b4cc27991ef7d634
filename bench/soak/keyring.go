package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// keysPerOrg is the number of keys of an organisation. Callers use the second oldest:
	// it has been in several configurations and remains in the next.
	keysPerOrg, usedKey = 4, 1
	// limitedRate and limitedBurst limit one organisation, in requests a second and in
	// requests. Its callers ask for several times as much.
	limitedRate, limitedBurst = 4, 10
	// All but one in recentShare barred keys are among the recentKeys that were taken away
	// last: those that a node which is cut off may not know of.
	recentShare, recentKeys = 4, 8
	// organisation of the jobs, and the one with a limit.
	jobsOrg, limitedOrg = "org-a", "org-limited"
)

// onlineOrgs are the organisations of the callers of online requests, in turn.
var onlineOrgs = []string{"org-a", "org-b"}

// takenKey is a key that is in no configuration since a time.
type takenKey struct {
	key, org string
	at       time.Time
}

// keyring holds the organisations of the configuration and their keys. It is safe for
// concurrent use. A nil one belongs to a configuration without organisations.
type keyring struct {
	mu     sync.Mutex
	orgs   []platformtest.Organisation
	issued int
	taken  []takenKey
}

func newKeyring() *keyring {
	k := &keyring{orgs: []platformtest.Organisation{{Name: "org-a"}, {Name: "org-b"}, {Name: limitedOrg, RatePerS: limitedRate, Burst: limitedBurst}}}
	for i := range k.orgs {
		for range keysPerOrg {
			k.issue(&k.orgs[i])
		}
	}
	return k
}

func (k *keyring) issue(org *platformtest.Organisation) {
	k.issued++
	org.Keys = append(org.Keys, fmt.Sprintf("key-%d-of-%s", k.issued, org.Name))
}

// list returns a copy of the organisations, or nil.
func (k *keyring) list() []platformtest.Organisation {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	out := append([]platformtest.Organisation(nil), k.orgs...)
	for i := range out {
		out[i].Keys = append([]string(nil), out[i].Keys...)
	}
	return out
}

// key returns the key that callers of an organisation use, or none.
func (k *keyring) key(org string) string {
	if k == nil {
		return ""
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.orgs {
		if k.orgs[i].Name == org {
			return k.orgs[i].Keys[usedKey]
		}
	}
	return ""
}

// rotate replaces the oldest key of a random organisation by a new one. write writes the
// configuration; the key counts as taken away from its return on.
func (k *keyring) rotate(rng *rand.Rand, write func() error) (takenKey, error) {
	k.mu.Lock()
	org := &k.orgs[rng.IntN(len(k.orgs))]
	old := takenKey{key: org.Keys[0], org: org.Name}
	org.Keys = append([]string(nil), org.Keys[1:]...)
	k.issue(org)
	k.mu.Unlock()
	if err := write(); err != nil {
		return old, err
	}
	old.at = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.taken = append(k.taken, old)
	return old, nil
}

// randomTaken returns a key that was taken away, mostly a recent one; ok is false if there is none.
func (k *keyring) randomTaken(rng *rand.Rand) (old takenKey, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.taken) == 0 {
		return takenKey{}, false
	}
	from := 0
	if rng.IntN(recentShare) > 0 {
		from = max(0, len(k.taken)-recentKeys)
	}
	return k.taken[from+rng.IntN(len(k.taken)-from)], true
}
