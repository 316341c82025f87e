// Package chart interprets state charts that are kept in JSON files.
//
// A chart names its states and, for each state, the events that lead to another
// state and the events that are refused. Loading refuses a chart with a state that
// cannot be reached, an event that a state neither handles nor refuses, a target
// that does not exist, or a final state with exits. Charts come only with the
// program, so their size has no limit.
package chart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Chart is the content of a chart file.
type Chart struct {
	Name    string
	Initial string
	States  []State
}

// State is a state of a Chart. A final state refuses every event and lists none.
type State struct {
	Name    string
	Final   bool
	Events  []Transition
	Refused []string
}

// Transition leads from a state to Target when Event happens.
type Transition struct {
	Event  string
	Target string
}

// Parse decodes a chart strictly and checks it. The error joins every finding.
func Parse(data []byte) (Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var c Chart
	if err := decoder.Decode(&c); err != nil {
		return Chart{}, fmt.Errorf("chart: %w", err)
	}
	if err := c.check(); err != nil {
		return Chart{}, err
	}
	return c, nil
}

// check returns every fault of the chart.
func (c Chart) check() error {
	states := map[string]State{}
	var findings []error
	found := func(format string, args ...any) {
		findings = append(findings, fmt.Errorf("chart %q: %s", c.Name, fmt.Sprintf(format, args...)))
	}
	for _, s := range c.States {
		if _, twice := states[s.Name]; twice {
			found("state %q is defined twice", s.Name)
		}
		states[s.Name] = s
	}
	if _, exists := states[c.Initial]; !exists {
		found("initial state %q does not exist", c.Initial)
	}
	events := c.events()
	reached := c.reachable(states)
	for _, s := range c.States {
		if !reached[s.Name] {
			found("state %q is not reachable", s.Name)
		}
		if s.Final && len(s.Events)+len(s.Refused) > 0 {
			found("final state %q lists events", s.Name)
		}
		for _, t := range s.Events {
			if _, exists := states[t.Target]; !exists {
				found("state %q: target %q of event %q does not exist", s.Name, t.Target, t.Event)
			}
		}
		if s.Final {
			continue
		}
		for _, event := range events {
			if times := s.mentions(event); times != 1 {
				found("state %q mentions event %q %d times, not once", s.Name, event, times)
			}
		}
	}
	return errors.Join(findings...)
}

// events returns every event of the chart, sorted.
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

// reachable returns the states that events lead to from the initial state.
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

// mentions counts how often the state handles or refuses an event.
func (s State) mentions(event string) int {
	times := 0
	for _, t := range s.Events {
		if t.Event == event {
			times++
		}
	}
	for _, refused := range s.Refused {
		if refused == event {
			times++
		}
	}
	return times
}
