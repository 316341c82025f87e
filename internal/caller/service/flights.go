package service

import "sync"

// flights counts what is in flight.
type flights struct {
	mutex    sync.Mutex
	count    int
	draining bool
	empty    chan struct{}
	attempts sync.WaitGroup
}

func (f *flights) enter() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.draining {
		return false
	}
	f.count++
	return true
}

// run starts an attempt of a request that is already counted.
func (f *flights) run(attempt func()) {
	f.mutex.Lock()
	f.count++
	f.mutex.Unlock()
	f.attempts.Go(func() {
		defer f.leave()
		attempt()
	})
}

func (f *flights) leave() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.count--
	if f.draining && f.count == 0 {
		close(f.empty)
	}
}

func (f *flights) drain() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.draining {
		f.draining, f.empty = true, make(chan struct{})
		if f.count == 0 {
			close(f.empty)
		}
	}
	return f.empty
}
