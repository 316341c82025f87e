// Package chart loads state charts from JSON files and computes state transitions.
//
// A chart lists its states and, for each state, the events that cause a transition
// and the events that are invalid there. Parse rejects a chart with an unreachable
// state, an event that a state neither handles nor refuses, a transition to an
// undefined state, or a final state with transitions. Charts are embedded in the
// binary, so their size is not limited.
package chart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Chart is the decoded content of a chart file.
type Chart struct {
	Name    string
	Initial string
	States  []State
}

// State is a state of a Chart. A final state refuses every event, so it lists neither
// transitions nor refused events.
type State struct {
	Name    string
	Final   bool
	Events  []Transition
	Refused []string
}

// Transition moves the machine to the state Target when Event occurs.
type Transition struct {
	Event  string
	Target string
}

// Parse decodes and validates a chart. Unknown JSON fields are errors. The returned
// error joins all validation errors.
func Parse(data []byte) (Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var c Chart
	if err := decoder.Decode(&c); err != nil {
		return Chart{}, fmt.Errorf("chart: %w", err)
	}
	if err := c.validate(); err != nil {
		return Chart{}, err
	}
	return c, nil
}

// validate returns all errors of the chart, joined.
func (c Chart) validate() error {
	states := map[string]State{}
	var errs []error
	report := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("chart %q: %s", c.Name, fmt.Sprintf(format, args...)))
	}
	for _, s := range c.States {
		if _, defined := states[s.Name]; defined {
			report("state %q is defined twice", s.Name)
		}
		states[s.Name] = s
	}
	if _, exists := states[c.Initial]; !exists {
		report("initial state %q does not exist", c.Initial)
	}
	events := c.events()
	reached := c.reachable(states)
	for _, s := range c.States {
		if !reached[s.Name] {
			report("state %q is not reachable", s.Name)
		}
		if s.Final && len(s.Events)+len(s.Refused) > 0 {
			report("final state %q lists events", s.Name)
		}
		for _, t := range s.Events {
			if _, exists := states[t.Target]; !exists {
				report("state %q: target %q of event %q does not exist", s.Name, t.Target, t.Event)
			}
		}
		if s.Final {
			continue
		}
		for _, event := range events {
			if count := s.countEvent(event); count != 1 {
				report("state %q mentions event %q %d times, not once", s.Name, event, count)
			}
		}
	}
	return errors.Join(errs...)
}

// events returns the names of all events of the chart, sorted and without duplicates.
func (c Chart) events() []string {
	var events []string
	for _, s := range c.States {
		for _, t := range s.Events {
			events = append(events, t.Event)
		}
		events = append(events, s.Refused...)
	}
	slices.Sort(events)
	return slices.Compact(events)
}

// reachable returns the set of states that can be reached from the initial state.
func (c Chart) reachable(states map[string]State) map[string]bool {
	reached := map[string]bool{c.Initial: true}
	pending := []string{c.Initial}
	for len(pending) > 0 {
		s := states[pending[0]]
		pending = pending[1:]
		for _, t := range s.Events {
			if !reached[t.Target] {
				reached[t.Target] = true
				pending = append(pending, t.Target)
			}
		}
	}
	return reached
}

// countEvent returns how many of the state's transitions and refusals name the event.
func (s State) countEvent(event string) int {
	count := 0
	for _, t := range s.Events {
		if t.Event == event {
			count++
		}
	}
	for _, refused := range s.Refused {
		if refused == event {
			count++
		}
	}
	return count
}
