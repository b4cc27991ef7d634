package placement

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// limitBurst is how many requests a limited replica gets at once after it got
	// none for a while. Loads vary within seconds.
	limitBurst = 4
	// minLimit is the rate, in requests a second, at which a replica that names a
	// lower one is used. A replica withdraws its limit only in a response, so that one
	// that names 0 would never be used again.
	minLimit = 0.25
	// secondHubShare is the fraction of a limit that a hub hands out that is not the
	// first one of its group. It serves nodes that do not reach the first hub, while
	// that one serves the others.
	secondHubShare = 0.5
	// unlimited is the number of tokens for a replica without a limit.
	unlimited = math.MaxInt
)

// rateLimits holds a token bucket for each replica of a group that names a limit. A
// hub takes a token for each request that it places there, so that all nodes together
// stay within the limit. A bucket starts empty: a hub does not know what the replica
// got from others before.
type rateLimits struct {
	buckets map[core.ReplicaID]*rate.Limiter
	// share is the fraction of the limits that the hub hands out.
	share float64
}

func newRateLimits() rateLimits {
	return rateLimits{buckets: make(map[core.ReplicaID]*rate.Limiter), share: 1}
}

// update applies the limits that the replicas name at present.
func (l *rateLimits) update(replicas []replicaSlots, now time.Time) {
	previous := l.buckets
	l.buckets = make(map[core.ReplicaID]*rate.Limiter, len(previous))
	for _, r := range replicas {
		if !r.limit.Named {
			continue
		}
		perSecond := l.share * usableRate(r.limit)
		bucket, ok := previous[r.id]
		if !ok {
			bucket = newEmptyBucket(perSecond, limitBurst, now)
		}
		if bucket.Limit() != rate.Limit(perSecond) {
			bucket.SetLimitAt(now, rate.Limit(perSecond))
		}
		l.buckets[r.id] = bucket
	}
}

// tokens returns how many requests a replica takes now.
func (l *rateLimits) tokens(id core.ReplicaID, now time.Time) int {
	bucket, ok := l.buckets[id]
	if !ok {
		return unlimited
	}
	return int(bucket.TokensAt(now))
}

// bucketFull reports whether the bucket of a replica with a number of tokens is full:
// those that come next are lost unless one is used.
func bucketFull(tokens int) bool { return tokens >= limitBurst }

// take takes a token for a request.
func (l *rateLimits) take(id core.ReplicaID, now time.Time) {
	if bucket, ok := l.buckets[id]; ok {
		bucket.AllowN(now, 1)
	}
}

// usableRate is the rate at which a replica with a limit is used, in requests a
// second.
func usableRate(l replica.Limit) float64 { return max(minLimit, l.PerSecond) }

// newEmptyBucket returns a bucket without tokens.
func newEmptyBucket(perSecond float64, burst int, now time.Time) *rate.Limiter {
	bucket := rate.NewLimiter(rate.Limit(perSecond), burst)
	bucket.AllowN(now, burst)
	return bucket
}
