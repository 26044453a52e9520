package loader

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"celerygap.example/lib/annotator"
)

const (
	// clockTick is the unit of the times in /proc/<pid>/stat: Linux reports 100 ticks a second on all architectures.
	clockTick = 10 * time.Millisecond
	// The fields utime and stime of /proc/<pid>/stat, counted after the command name (proc(5)).
	userField   = 11
	systemField = 12
)

// cpuTime returns the CPU time that a process has used, and zero for the process id 0.
func cpuTime(process int) (time.Duration, error) {
	if process == 0 {
		return 0, nil
	}
	path := fmt.Sprintf("/proc/%d/stat", process)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, annotator.Wrap("read processor time", "self", err)
	}
	// The command name may contain spaces and ends at the last parenthesis.
	_, rest, _ := strings.Cut(string(text[strings.LastIndexByte(string(text), ')'):]), " ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, annotator.Wrap("read processor time", "self", fmt.Errorf("%s has only %d fields after the command name", path, len(fields)))
	}
	var ticks int64
	for _, field := range []int{userField, systemField} {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, annotator.Wrap("read processor time", "self", err)
		}
		ticks += value
	}
	return time.Duration(ticks) * clockTick, nil
}
