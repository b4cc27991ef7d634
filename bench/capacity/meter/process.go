package meter

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// ProcessCPU returns the processor time of another process, in its own code
// and in the kernel.
func ProcessCPU(pid int) (userTime, systemTime time.Duration, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read processor time")
	}
	// Fields 14 and 15 of proc(5), counted from the end of the program's name.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, 0, errors.Errorf("malformed stat of process %d", pid)
	}
	return time.Duration(user) * clockTick, time.Duration(system) * clockTick, nil
}

// ProcessMemory returns the resident memory of another process in bytes.
func ProcessMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib * 1024, err
		}
	}
	return 0, errors.Errorf("process %d has no VmRSS", pid)
}
