package forward

import (
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/routetable"
)

// limited reports whether the request counts against the limit of its organisation. The
// limits are on requests to replicas; jobs have a limit on their waiting tokens.
func (r *request) limited() bool {
	return r.h.Quota != nil && r.org != nil && r.org.Limited() && r.route.Kind != routetable.KindBatch
}

// refuseOverLimit refuses the request if its organisation is over its limit.
func (r *request) refuseOverLimit(now time.Time) bool {
	if !r.limited() {
		return false
	}
	r.quota = r.h.Quota.Admit(r.org, now)
	if r.quota.Admitted {
		return false
	}
	r.h.Log.Info("request refused", "request", r.reqInfo.ID, "reason", "over_limit", "organisation", r.org.Name, "route", r.route.Name,
		"limit", r.org.RequestsPerSecond, "burst", r.org.Burst, "share", r.quota.Share, "use", r.quota.Use, "use_age_ms", r.quota.Age.Milliseconds(), "counted_at", r.quota.Owner,
		"retry_after_ms", r.quota.RetryAfter.Milliseconds(), "config", r.configVersion)
	refuse(r.w, http.StatusTooManyRequests, "over_limit", r.quota.RetryAfter)
	return true
}

// returnQuota takes the count of an admitted request back if no replica has run it.
func (r *request) returnQuota() {
	if r.quota.Admitted && r.runs == 0 {
		r.h.Quota.Return(r.org, r.quota, time.Now())
	}
}
