package platformnode

import "time"

// configAge returns the time since the configuration was last confirmed. ok is false if it
// never was.
func (n *Node) configAge(now time.Time) (age time.Duration, ok bool) {
	return n.configWatcher.ContactAge(now)
}
