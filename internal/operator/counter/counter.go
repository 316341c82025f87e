// Package counter provides named counters and latency histograms and serves them over
// HTTP, as expvar JSON or as text.
package counter

import (
	"expvar"
	"fmt"
	"net/http"
)

// Set is a set of named counters. The zero value is empty and ready to use. It
// isn't published in the process-wide expvar registry, because one process may
// run several entry instances.
type Set struct {
	counters expvar.Map
}

// Add adds delta to a counter. Names have the form "Group.Reason", for example
// "Refused.StoreUnavailable". Add on a nil Set does nothing.
func (s *Set) Add(name string, delta int64) {
	if s == nil {
		return
	}
	s.counters.Add(name, delta)
}

// Value returns the value of a counter, which is 0 before the first Add.
func (s *Set) Value(name string) int64 {
	if s == nil {
		return 0
	}
	counter, ok := s.counters.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return counter.Value()
}

// Values returns the values of all counters by name.
func (s *Set) Values() map[string]int64 {
	values := map[string]int64{}
	if s == nil {
		return values
	}
	s.counters.Do(func(entry expvar.KeyValue) {
		if counter, ok := entry.Value.(*expvar.Int); ok {
			values[entry.Key] = counter.Value()
		}
	})
	return values
}

// ServeHTTP writes the counters as {"jacinthtrail": {...}} together with the
// variables of the process-wide expvar registry.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", "jacinthtrail", s.counters.String())
	expvar.Do(func(entry expvar.KeyValue) {
		fmt.Fprintf(w, ",\n%q: %s", entry.Key, entry.Value)
	})
	fmt.Fprint(w, "\n}\n")
}
