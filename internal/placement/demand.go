package placement

import (
	"math"
	"time"
)

// demandWindow is the time over which the demand is averaged. It spans the bursts of
// usual loads: what waits in one is served after it.
const demandWindow = 8 * time.Second

// demand is a moving average of the rate of online requests that were placed or
// rejected, in requests a second. Those that wait are counted by their number.
type demand struct {
	perSecond float64
	updatedAt time.Time
	recent    int // requests since the last update
}

func (d *demand) observe() { d.recent++ }

func (d *demand) update(now time.Time) {
	d.perSecond *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandWindow.Seconds())
	d.perSecond += float64(d.recent) / demandWindow.Seconds()
	d.updatedAt, d.recent = now, 0
}
