package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// maxAccounts bounds the organisations that a hub tells apart. Those beyond it
	// share one account, so that their number cannot exhaust the memory of a hub.
	maxAccounts = 4096
	// tolerantTurns is the cost by which each organisation may be ahead of its share.
	// Requests do not come evenly, and one that is rare must not wait for its turn.
	tolerantTurns = 4.0
	// tolerantItems is the same for items of jobs, about those of one job: up to that the
	// due time alone decides.
	tolerantItems = 16.0
	// maxTurnCost bounds the cost of a request in turns, either way: an estimate of its
	// tokens that is far off must not keep its organisation from the servers for long.
	maxTurnCost = 8.0
	// busyGap is how long no request must wait until a busy period ends. With each one an
	// organisation gets its tolerance again; a queue may be empty for moments in an
	// overload, as what cannot be served is rejected.
	busyGap = time.Second
	// tokensDecay is the weight of earlier requests in the mean number of tokens.
	tokensDecay = 0.99
)

// turns tell which of the requests that wait exceed the share of their organisation. It is
// start-time fair queueing with a tolerance: the virtual time of a busy period, in which
// requests wait without a long gap, is the cost of what was granted in it, and an organisation
// is ahead by what it was granted, divided by its share, less the virtual time. As long as
// it is ahead by no more than its tolerance, its requests are inside its share. Costs are
// in turns: the slot time of a mean request.
type turns struct {
	shares
	accounts map[core.Org]*account
	// tolerance is the cost by which each organisation may be ahead.
	tolerance float64
	// period counts the busy periods, and granted is the cost of what was granted in this
	// one.
	period     uint64
	granted    float64
	waitedAt   time.Time // when a request last waited
	meanTokens float64   // of the requests that tell them
}

// account is what a hub knows of the use of one organisation.
type account struct {
	weight float64 // as configured
	demand usualDemand
	// share is the part of the servers that the organisation usually uses, 0 until it is
	// known.
	share float64
	// finish is the virtual time at which the organisation has had what it was granted in
	// the busy period with the number period.
	finish float64
	period uint64
	// waiting is the cost of the requests counted so far in a pass over the queue.
	waiting float64
}

// newOnlineTurns returns the turns of online requests: each organisation has the share that
// it usually uses.
func newOnlineTurns() *turns {
	return &turns{tolerance: tolerantTurns, accounts: make(map[core.Org]*account)}
}

// newItemTurns returns the turns of items of jobs: the shares are equal. Jobs are rare and
// large, so that their demand over a time says little of the next one.
func newItemTurns() *turns {
	return &turns{tolerance: tolerantItems, shares: shares{equal: true}, accounts: make(map[core.Org]*account)}
}

// account returns the account of an organisation, and creates it if needed.
func (t *turns) account(org core.Org, weight float64) *account {
	a, ok := t.accounts[org]
	if !ok {
		if org != "" && len(t.accounts) >= maxAccounts {
			return t.account("", 0)
		}
		a = &account{weight: weightOrOne(weight)}
		t.accounts[org] = a
		t.added(a, t.accounts)
	}
	a.weight = weightOrOne(weight)
	return a
}

func weightOrOne(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// cost returns what a request costs a server, in turns.
func (t *turns) cost(tokens int) float64 {
	if tokens <= 0 {
		return 1
	}
	if t.meanTokens == 0 {
		t.meanTokens = float64(tokens)
	}
	t.meanTokens = tokensDecay*t.meanTokens + (1-tokensDecay)*float64(tokens)
	return min(maxTurnCost, max(1/maxTurnCost, float64(tokens)/t.meanTokens))
}

// binding reports whether there are organisations to be told apart.
func (t *turns) binding() bool { return len(t.accounts) > 1 }

// waits records that a request waits at a time. A busy period begins if none has waited for
// a while: what was granted meanwhile took nothing from anybody, and is not held against
// an organisation.
func (t *turns) waits(now time.Time) {
	if !t.busy(now) {
		t.period, t.granted = t.period+1, 0
	}
	t.waitedAt = now
}

// busy reports whether a busy period goes on.
func (t *turns) busy(now time.Time) bool { return now.Sub(t.waitedAt) < busyGap }

// charge records that a request was granted a slot in a busy period.
func (t *turns) charge(a *account, cost float64) {
	if a.share <= 0 {
		return
	}
	a.finish = t.start(a) + cost/a.share
	a.period = t.period
	t.granted += cost
}

// start returns the virtual time at which the next turn of an organisation begins. One
// that was not there for a while does not save its turns.
func (t *turns) start(a *account) float64 {
	if a.period != t.period {
		return t.granted
	}
	return max(a.finish, t.granted)
}

// excess returns by how much a request is beyond the share of its organisation, in virtual
// time, if others of the organisation with a total cost are served before it. It is 0 for
// one inside the share.
func (t *turns) excess(a *account, ahead float64) float64 {
	if a.share <= 0 || !t.binding() {
		return 0
	}
	return max(0, t.start(a)-t.granted+(ahead-t.tolerance)/a.share)
}

// update ages the demand and derives the shares from it.
func (t *turns) update(now time.Time) { t.shares.update(t.accounts, now) }
