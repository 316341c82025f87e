package service

import "sync"

// inFlightTracker counts the requests in flight and the goroutines that they have
// started.
type inFlightTracker struct {
	mutex      sync.Mutex
	count      int
	draining   bool
	drained    chan struct{}
	goroutines sync.WaitGroup
}

// begin counts a request. It returns false if the tracker is draining.
func (t *inFlightTracker) begin() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.draining {
		return false
	}
	t.count++
	return true
}

// goTracked runs work in a counted goroutine. It must be called while a counted request
// or goroutine is in flight.
func (t *inFlightTracker) goTracked(work func()) {
	t.mutex.Lock()
	t.count++
	t.mutex.Unlock()
	t.goroutines.Go(func() {
		defer t.end()
		work()
	})
}

// end uncounts a request or goroutine.
func (t *inFlightTracker) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.count--
	if t.draining && t.count == 0 {
		close(t.drained)
	}
}

// drain makes begin return false and returns a channel that is closed when nothing is in
// flight.
func (t *inFlightTracker) drain() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.draining {
		t.draining, t.drained = true, make(chan struct{})
		if t.count == 0 {
			close(t.drained)
		}
	}
	return t.drained
}
