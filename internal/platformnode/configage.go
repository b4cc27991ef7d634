package platformnode

import "time"

// configAge returns the time since the configuration was last confirmed to be the newest,
// by the store or by a peer that had it from the store. ok is false if it never was.
func (n *Node) configAge(now time.Time) (age time.Duration, ok bool) {
	age, ok = n.configWatcher.ContactAge(now)
	if at, confirmed := n.confirmation.at(now); confirmed && (!ok || now.Sub(at) < age) {
		return now.Sub(at), true
	}
	return age, ok
}
