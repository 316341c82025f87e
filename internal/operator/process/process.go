// Package process reads what this process has used.
package process

import (
	"runtime"
	"syscall"
	"time"
)

// Processor returns the processor time that the process has used so far, user and
// system time of all threads together. It is 0 if the system doesn't tell.
func Processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Heap returns the bytes of reachable heap objects after a garbage collection.
func Heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
