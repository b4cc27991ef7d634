package quota

import "time"

const (
	// window is the sliding window over which the limits are judged.
	window = 5 * time.Second
	// leaseTime is how long a node may use what an owner has leased to it. What is used
	// in a window was leased in the window or leaseTime before it.
	leaseTime = 150 * time.Millisecond
	// maxRefusal is how long a node refuses requests without asking again. A share that
	// another data centre doesn't use gets here that much later.
	maxRefusal = 50 * time.Millisecond
	// slotTime is the resolution of the count of what was leased.
	slotTime = 50 * time.Millisecond
	// ledgerSpare, takeoverSpare and loneSpare are what a ledger holds, in requests, beyond
	// its share of the burst. A small share would never add up to one request otherwise.
	ledgerSpare, takeoverSpare, loneSpare = 2, 1, 1
	// startLevel is what a new ledger holds, in requests. Its owner doesn't know what was
	// used before.
	startLevel = 1
	// takeoverShare is the most of a limit that an owner leases while it can't be sure
	// that the one before it has stopped. It fits into the overage.
	takeoverShare = 0.1
	// takeoverTime is how long the owner before must not have answered for the next one
	// to lease the whole share of the data centre.
	takeoverTime = time.Second
	// touchTime is how long an owner that has heard of no other node leases the share of
	// its data centre. It is shorter than takeoverTime, after which the next one does.
	touchTime = 900 * time.Millisecond
	// returnTime is how long an owner that was out of touch, or has started, leaves most of
	// the share to the next one, until that one has noticed. It covers an interval between
	// probes and a probe.
	returnTime = probeInterval + probeTimeout + tickInterval
	// quietTime is how long an owner hears of no other node before it probes some.
	quietTime = 300 * time.Millisecond
	// loneShare is the part of a limit, divided by the number of nodes, that a node uses
	// that reaches no other node. All of them together stay within the overage.
	loneShare = 0.1
	// assumedNodes is the size of a fleet that a node doesn't know yet.
	assumedNodes = 100
	// missedShare and missedRate (requests a second) are what all data centres together
	// use beyond the limit while one of them doesn't answer. Its share is out of reach.
	missedShare, missedRate = 0.02, 1.5
)
