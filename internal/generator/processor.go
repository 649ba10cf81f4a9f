package generator

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of times in /proc/PID/stat (see proc(5)). It is 10 ms on
// every Linux that Go supports.
const clockTick = 10 * time.Millisecond

// CPUTimes returns the CPU time that each process has used so far. The keys of
// pids and of the result are names of processes, the values of pids process IDs.
func CPUTimes(pids map[string]string) (map[string]time.Duration, error) {
	times := make(map[string]time.Duration, len(pids))
	for name, pid := range pids {
		t, err := cpuTime(pid)
		if err != nil {
			return nil, err
		}
		times[name] = t
	}
	return times, nil
}

// Indexes of the user and system time among the fields of /proc/PID/stat after the
// command's name.
const (
	userTimeIndex   = 11
	systemTimeIndex = 12
)

func cpuTime(pid string) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	if len(fields) <= systemTimeIndex {
		return 0, fmt.Errorf("process %s: too few fields in its /proc stat file", pid)
	}
	user, err := strconv.ParseInt(string(fields[userTimeIndex]), 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(string(fields[systemTimeIndex]), 10, 64)
	return time.Duration(user+system) * clockTick, err
}
