package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run. Times are in seconds since its creation.
type record struct {
	start time.Time

	lock   sync.Mutex
	writer *bufio.Writer
}

func newRecord(w io.Writer) *record {
	return &record{start: time.Now(), writer: bufio.NewWriter(w)}
}

func (r *record) write(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) flush() {
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.writer.Flush()
}
