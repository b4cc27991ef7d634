package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ticksPerSecond is USER_HZ, which Linux fixes at 100 on all usual machines.
const ticksPerSecond = 100

// CPUSeconds returns the user and system time of a process.
func CPUSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// The name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // fields 14 and 15 of proc(5), counted after the name
	if len(fields) <= system {
		return 0, errors.Errorf("unexpected form of /proc/%d/stat", pid)
	}
	ticks := 0
	for _, field := range fields[user : system+1] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, errors.Wrap(err, "read processor time")
		}
		ticks += n
	}
	return float64(ticks) / ticksPerSecond, nil
}

// PeakMemory returns the peak resident memory (VmHWM) of a process in MiB.
func PeakMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read peak memory")
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return float64(kib) / 1024, errors.Wrap(err, "read peak memory")
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no VmHWM", pid)
}
