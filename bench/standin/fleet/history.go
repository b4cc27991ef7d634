package fleet

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
)

// retention is how long old versions of the list are kept. It is the longest lag
// that can be simulated.
const retention = 5 * time.Minute

// version is the list as it was from a point in time on.
type version struct {
	since time.Time
	vms   []infra.VM
}

// history holds the versions of the list, oldest first.
type history struct {
	versions []version
}

func (h *history) latest() []infra.VM {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1].vms
}

// set adds a version and drops those that are older than the retention.
func (h *history) set(now time.Time, vms []infra.VM) {
	h.versions = append(h.versions, version{since: now, vms: vms})
	for len(h.versions) > 1 && now.Sub(h.versions[1].since) > retention {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
}

// at returns the list that was current at a time, or an empty one before the
// first version.
func (h *history) at(t time.Time) []infra.VM {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if !h.versions[i].since.After(t) {
			return h.versions[i].vms
		}
	}
	return []infra.VM{}
}
