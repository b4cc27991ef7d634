package proc

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Machine is the processor time of the machine since its start, in ticks.
type Machine struct {
	// Steal is the time in which the machine was ready to run but its host ran
	// others.
	Idle, Steal, Total float64
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
	const idle, iowait, steal, counted = 3, 4, 7, 8 // guest time is part of user time
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
		if i == steal {
			m.Steal = n
		}
	}
	return m, nil
}

// Shares returns the shares of idle and of stolen time between two readings.
func (m Machine) Shares(later Machine) (idle, steal float64) {
	total := later.Total - m.Total
	if total <= 0 {
		return 0, 0
	}
	return (later.Idle - m.Idle) / total, (later.Steal - m.Steal) / total
}
