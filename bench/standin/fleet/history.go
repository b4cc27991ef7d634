package fleet

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
)

// keep is how long old lists are kept; it bounds the lag that can be shown.
const keep = 5 * time.Minute

type version struct {
	since time.Time
	vms   []infra.VM
}

// history is the list over time, oldest first.
type history struct {
	versions []version
}

func (h *history) latest() []infra.VM {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1].vms
}

// set adds a version and drops those that no reader can see any more.
func (h *history) set(now time.Time, vms []infra.VM) {
	h.versions = append(h.versions, version{since: now, vms: vms})
	for len(h.versions) > 1 && now.Sub(h.versions[1].since) > keep {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
}

// at returns the list that was in force at a time, or an empty one.
func (h *history) at(t time.Time) []infra.VM {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if !h.versions[i].since.After(t) {
			return h.versions[i].vms
		}
	}
	return []infra.VM{}
}
