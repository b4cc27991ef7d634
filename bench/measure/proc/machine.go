package proc

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Machine is the processor time of the machine since its start, in ticks.
type Machine struct {
	Idle, Total float64
}

// ReadMachine reads the first line of /proc/stat. Waiting for disks counts as
// idle.
func ReadMachine() (Machine, error) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return Machine{}, errors.Wrap(err, "read processor time")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	var m Machine
	const idle, iowait, counted = 3, 4, 8 // guest time is part of user time
	for i, field := range strings.Fields(line)[1:] {
		n, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return Machine{}, errors.Wrap(err, "read processor time")
		}
		if i < counted {
			m.Total += n
		}
		if i == idle || i == iowait {
			m.Idle += n
		}
	}
	return m, nil
}

// IdleShare returns the share of idle time between two readings.
func (m Machine) IdleShare(later Machine) float64 {
	if later.Total <= m.Total {
		return 0
	}
	return (later.Idle - m.Idle) / (later.Total - m.Total)
}
