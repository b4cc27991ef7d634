package proc

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// CPUTimes is the CPU time of the whole machine since its start, in ticks.
type CPUTimes struct {
	// Steal is the time in which the virtual machine was ready to run but its
	// host ran others.
	Idle, Steal, Total float64
}

// ReadCPUTimes reads the first line of /proc/stat. Time spent waiting for I/O counts
// as idle.
func ReadCPUTimes() (CPUTimes, error) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return CPUTimes{}, errors.Wrap(err, "read CPU times of the machine")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	var m CPUTimes
	const idle, iowait, steal, fieldCount = 3, 4, 7, 8 // guest time, in the later fields, is part of user time
	for i, field := range strings.Fields(line)[1:] {
		n, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return CPUTimes{}, errors.Wrap(err, "parse the first line of /proc/stat")
		}
		if i < fieldCount {
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

// Shares returns the shares of idle and of stolen time between this reading and a
// later one.
func (m CPUTimes) Shares(later CPUTimes) (idle, steal float64) {
	total := later.Total - m.Total
	if total <= 0 {
		return 0, 0
	}
	return (later.Idle - m.Idle) / total, (later.Steal - m.Steal) / total
}
