package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// limitedCallers is the number of callers of the limited organisation, and
	// limitedPause the time between two requests of one: together several times the limit.
	limitedCallers = 3
	limitedPause   = 30 * time.Millisecond
	// barredPause is the time between two requests without a valid key.
	barredPause = 10 * time.Millisecond
	// rotateInterval is the time between two keys that are taken away.
	rotateInterval = 1500 * time.Millisecond
)

// startKeyed starts the callers of the limited organisation, those without a valid key, and
// the operator who takes keys away, until ctx ends.
func (c *clients) startKeyed(ctx context.Context, log func(format string, args ...any)) {
	c.wg.Go(func() { c.contacts.run(ctx) })
	c.wg.Go(func() { c.rotateKeys(ctx, log) })
	c.wg.Go(func() { c.sendBarred(ctx) })
	for i := range limitedCallers {
		c.wg.Go(func() {
			rng := c.rng(uint64(2000 + i))
			for n := 0; ctx.Err() == nil; n++ {
				c.sendKeyed(rng, fmt.Sprintf("limited-%d-%d", i, n), c.testbed.keys.key(limitedOrg), askedRequest{org: limitedOrg})
				sleep(ctx, limitedPause)
			}
		})
	}
}

// rotateKeys takes one key after the other away.
func (c *clients) rotateKeys(ctx context.Context, log func(format string, args ...any)) {
	rng := c.rng(2100)
	for sleep(ctx, rotateInterval); ctx.Err() == nil; sleep(ctx, rotateInterval) {
		old, err := c.testbed.keys.rotate(rng, c.testbed.configure)
		if err != nil {
			c.oracle.addViolation("configuration: %v", err)
			return
		}
		log("%s was taken away in configuration %d", old.key, c.testbed.version())
	}
}

// sendBarred sends requests without a key, with an unknown one, and with keys that were
// taken away.
func (c *clients) sendBarred(ctx context.Context) {
	rng := c.rng(2200)
	for n := 0; ctx.Err() == nil; n++ {
		id, key, request := fmt.Sprintf("barred-%d", n), "", askedRequest{barred: true, why: "no key"}
		switch rng.IntN(4) {
		case 0:
		case 1:
			key, request.why = "key-of-nobody", "unknown key"
		default:
			old, ok := c.testbed.keys.randomTaken(rng)
			if !ok {
				continue
			}
			key = old.key
			request = askedRequest{org: old.org, why: fmt.Sprintf("%s, which was taken away at %s", old.key, clock(old.at))}
			request.barred = time.Since(old.at) > revokeTime // and the node could learn it, see sendKeyed
		}
		c.sendKeyed(rng, id, key, request)
		sleep(ctx, barredPause)
	}
}

// sendKeyed sends one request to a random node. One with a key that was taken away is barred
// only at nodes that could learn it.
func (c *clients) sendKeyed(rng *rand.Rand, id, key string, request askedRequest) {
	node := rng.IntN(len(c.testbed.nodes))
	n, now := c.testbed.nodes[node], time.Now()
	// A key that was taken away has an organisation, and a reason why it is none now.
	taken := request.org != "" && request.why != ""
	if taken && request.barred {
		request.barred = c.contacts.informed(n, now, revokeTime)
	}
	if request.barred {
		request.why += ", sent to " + n.name + " at " + clock(now)
	}
	c.checks.ask(id, request)
	contact := c.contacts.inContact(n, now, revokeTime)
	caller := c.caller(node, "")
	caller.Key = key
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response := caller.Post(ctx, "/safe/x", id)
	contact = contact && c.contacts.inContact(n, time.Now(), revokeTime)
	if taken && !request.barred {
		return // either answer is right
	}
	c.checks.checkResponse(id, &response, contact)
	if response.Err == nil && response.Status == http.StatusOK && response.Body != platformtest.PlainBody(id) {
		c.oracle.addViolation("%s: response body of %d bytes differs from the expected one", id, len(response.Body))
	}
}
