package placement

import "time"

const (
	// usualWindow is the time over which the usual demand of an organisation is averaged.
	// It spans several waves of usual loads.
	usualWindow = 30 * time.Second
	// maxUsualRise bounds, as a multiple of the usual demand, what is counted of the
	// present one, so that an organisation does not earn a large share by a short rush.
	maxUsualRise = 2.0
)

// usualDemand is the demand of an organisation over a longer time, in turns a second.
type usualDemand struct {
	perSecond float64
	recent    float64 // cost of the requests since the last update
}

func (d *usualDemand) observe(cost float64) { d.recent += cost }

// update adds the requests of the time since the last update. The mean of the whole time
// is taken while that, the age, is short. bounded is set if a rush is not to be counted in
// full, with at least the given demand as usual.
func (d *usualDemand) update(elapsed, age time.Duration, bounded bool, least float64) {
	present := d.recent / elapsed.Seconds()
	if bounded {
		present = min(present, maxUsualRise*max(d.perSecond, least))
	}
	d.perSecond += (present - d.perSecond) * elapsed.Seconds() / min(age, usualWindow).Seconds()
	d.recent = 0
}
