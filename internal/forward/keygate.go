package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// unsureAfter is the age of the configuration, since it was last confirmed, from which
	// a key that it does not hold may be a new one. The store confirms it every 2 s.
	unsureAfter = 3 * time.Second
	// unsureRetryAfter is the Retry-After of a caller whose key cannot be checked.
	unsureRetryAfter = 500 * time.Millisecond
	// keyDigestBytes is how much of the digest of a key is logged: enough to find it among
	// thousands.
	keyDigestBytes = 6
)

// KeyGate decides by their keys which callers are served.
type KeyGate struct {
	// Age returns how long ago the configuration was last confirmed, by the store or by
	// a peer that had it from the store. ok is false if it never was.
	Age func(now time.Time) (age time.Duration, ok bool)
	// TrustFor is how long after its confirmation a configuration decides. 0 means
	// without an end.
	TrustFor time.Duration
	Log      *slog.Logger
	// Scope has the counter of refusals, by reason.
	Scope tally.Scope
}

// keyVerdict is the decision on a caller.
type keyVerdict int

const (
	keyAccepted keyVerdict = iota
	// keyUnknown: the caller has no key, or one that no organisation holds.
	keyUnknown
	// keyUnsure: the caller has a key that no organisation holds in a configuration
	// that may not be the newest.
	keyUnsure
	// keyUntrusted: the configuration is too old to decide on keys.
	keyUntrusted
)

// Admit returns the organisation of a caller, or nil if it has none, and records it in
// the request. If the caller must not use the route, it refuses the request and ok is
// false.
func (g *KeyGate) Admit(w http.ResponseWriter, table *routetable.Table, route *routetable.Route, reqInfo *RequestInfo, now time.Time) (org *routetable.Organisation, ok bool) {
	org, ok = table.Identify(route, reqInfo.Key)
	reqInfo.Identified = table.Organisations != nil
	if org != nil {
		reqInfo.Org = org.Name
	}
	needsKey := reqInfo.Identified && !route.Public
	return org, g.decide(w, table, needsKey, ok, reqInfo.Key, reqInfo.ID, route.Name, now)
}

// AdmitJobs is Admit for a call about an accepted job. named is the organisation of the
// caller, or empty.
func (g *KeyGate) AdmitJobs(w http.ResponseWriter, table *routetable.Table, host, key, job string) (named core.Org, ok bool) {
	org, ok := table.IdentifyJobs(host, key)
	if org != nil {
		named = org.Name
	}
	needsKey := table.Organisations != nil && (!ok || org != nil)
	return named, g.decide(w, table, needsKey, ok, key, job, "", time.Now())
}

// Trusted reports whether the configuration may decide on keys at a time.
func (g *KeyGate) Trusted(now time.Time) bool {
	age, known := g.Age(now)
	return trusts(age, known, g.TrustFor)
}

// decide refuses a caller that must not be served, and reports whether it is served.
func (g *KeyGate) decide(w http.ResponseWriter, table *routetable.Table, needsKey, valid bool, key, request, route string, now time.Time) bool {
	if !needsKey || valid && g.TrustFor == 0 {
		return valid
	}
	age, known := g.Age(now)
	verdict := judgeKey(valid, key, age, known, g.TrustFor)
	reason, status, retryAfter := "unknown_key", http.StatusUnauthorized, time.Duration(0)
	switch verdict {
	case keyAccepted:
		return true
	case keyUnsure:
		reason, status, retryAfter = "unknown_key_unsure", http.StatusServiceUnavailable, unsureRetryAfter
	case keyUntrusted:
		reason, status, retryAfter = "configuration_too_old", http.StatusServiceUnavailable, unsureRetryAfter
	}
	g.Log.Info("request refused", "request", request, "reason", reason, "key", KeyDigest(key), "route", route,
		"config", table.Version, "config_confirmed", known, "config_age_ms", age.Milliseconds())
	g.Scope.Tagged(map[string]string{"reason": reason}).Counter("key_refusals").Inc(1)
	refuse(w, status, reason, retryAfter)
	return false
}

// judgeKey decides on a caller by whether its key is valid in the configuration and how
// old that is.
func judgeKey(valid bool, key string, age time.Duration, known bool, trustFor time.Duration) keyVerdict {
	switch {
	case !trusts(age, known, trustFor):
		return keyUntrusted
	case valid:
		return keyAccepted
	case key != "" && (!known || age > unsureAfter):
		return keyUnsure
	default:
		return keyUnknown
	}
}

// trusts reports whether a configuration decides on keys.
func trusts(age time.Duration, known bool, trustFor time.Duration) bool {
	return trustFor == 0 || known && age <= trustFor
}

// KeyDigest returns a short digest of a key that may be logged, or "-" for no key.
func KeyDigest(key string) string {
	if key == "" {
		return "-"
	}
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:keyDigestBytes])
}
