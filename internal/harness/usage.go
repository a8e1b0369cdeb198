package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc. Linux reports 100 ticks per
// second to user space on every machine.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the processor time since the start, in user and system mode.
	CPU time.Duration
	// ResidentBytes is the current resident memory in bytes.
	ResidentBytes int64
	// IOBytes is the number of bytes that the process has read and written:
	// sockets, its log and its settings.
	IOBytes int64
}

// Usage reads the processor time, memory and I/O counters of the process.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	cpu, err := cpuTime(string(stat))
	if err != nil {
		return Usage{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return Usage{}, fmt.Errorf("statm of %s: too short", p.Name)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	moved, err := ioBytes(string(io))
	if err != nil {
		return Usage{}, err
	}
	return Usage{CPU: cpu, ResidentBytes: pages * int64(os.Getpagesize()), IOBytes: moved}, nil
}

// ioBytes returns the bytes of all read and write calls, including sockets.
func ioBytes(text string) (int64, error) {
	var sum int64
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(line, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// cpuTime returns the sum of user and system time. These are fields 14 and 15 of
// the line: the 12th and 13th after the closing parenthesis of the program name.
func cpuTime(stat string) (time.Duration, error) {
	_, rest, ok := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, fmt.Errorf("stat line %q: too short", stat)
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * clockTick, nil
}
