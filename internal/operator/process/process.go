// Package process measures the resource usage of this process.
package process

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the processor time of the process so far: the user and system time of
// all threads. It returns 0 if the system call fails.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// HeapBytes runs a garbage collection and returns the size of the remaining heap objects
// in bytes.
func HeapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
