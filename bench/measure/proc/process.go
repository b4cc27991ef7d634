package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ticksPerSecond is USER_HZ, which is 100 on all common Linux architectures.
const ticksPerSecond = 100

// CPUSeconds returns the sum of the user and system time of a process.
func CPUSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The program name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // fields 14 and 15 of proc(5), counted after the name
	if len(fields) <= system {
		return 0, errors.Errorf("too few fields in /proc/%d/stat", pid)
	}
	ticks := 0
	for _, field := range fields[user : system+1] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, errors.Wrap(err, "parse CPU time")
		}
		ticks += n
	}
	return float64(ticks) / ticksPerSecond, nil
}

// PeakMemoryMiB returns the peak resident memory (VmHWM) of a process in MiB.
func PeakMemoryMiB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read peak memory")
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return float64(kib) / 1024, errors.Wrap(err, "parse VmHWM")
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no VmHWM", pid)
}
