package meter

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// ProcessCPUTime returns the user and system CPU time of another process.
func ProcessCPUTime(pid int) (userTime, systemTime time.Duration, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read CPU time")
	}
	// Fields 14 and 15 of proc(5). Counting starts after the program's name, which
	// may contain spaces.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, 0, errors.Errorf("malformed /proc/%d/stat", pid)
	}
	return time.Duration(user) * clockTick, time.Duration(system) * clockTick, nil
}

// ResidentMemory returns the resident memory of another process in bytes.
func ResidentMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib * 1024, err
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no VmRSS", pid)
}
