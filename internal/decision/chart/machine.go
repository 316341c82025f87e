package chart

import (
	"embed"
	"errors"
	"fmt"
)

//go:embed charts/*.json
var files embed.FS

// Errors of Next.
var (
	// ErrRefused reports an event that the chart refuses in the state.
	ErrRefused = errors.New("chart: the event is refused in this state")
	// ErrUnknown reports a state or an event that the chart does not have.
	ErrUnknown = errors.New("chart: unknown state or event")
)

// Machine answers which state follows an event. It is immutable and shared: a task
// stores only its state. The zero Machine knows no states.
type Machine[S, E ~string] struct {
	initial S
	final   map[S]bool
	// next has an entry for each state and event; the empty state marks a refusal.
	next map[step[S, E]]S
}

type step[S, E ~string] struct {
	state S
	event E
}

// NewMachine compiles a chart.
func NewMachine[S, E ~string](c Chart) Machine[S, E] {
	m := Machine[S, E]{
		initial: S(c.Initial),
		final:   map[S]bool{},
		next:    map[step[S, E]]S{},
	}
	for _, s := range c.States {
		m.final[S(s.Name)] = s.Final
		for _, event := range c.events() {
			m.next[step[S, E]{S(s.Name), E(event)}] = ""
		}
		for _, t := range s.Events {
			m.next[step[S, E]{S(s.Name), E(t.Event)}] = S(t.Target)
		}
	}
	return m
}

// Initial returns the state in which the chart begins.
func (m Machine[S, E]) Initial() S {
	return m.initial
}

// Final reports whether a state has no exits.
func (m Machine[S, E]) Final(state S) bool {
	return m.final[state]
}

// Next returns the state that follows an event, or the same state with ErrRefused
// or ErrUnknown.
func (m Machine[S, E]) Next(state S, event E) (S, error) {
	target, known := m.next[step[S, E]{state, event}]
	switch {
	case !known:
		return state, fmt.Errorf("%w: state %q, event %q", ErrUnknown, state, event)
	case target == "":
		return state, fmt.Errorf("%w: state %q, event %q", ErrRefused, state, event)
	default:
		return target, nil
	}
}

// mustEmbedded returns a loader of a chart that is part of the program. The loader
// panics on a faulty chart, which the tests of this package rule out.
func mustEmbedded[S, E ~string](name string) func() Machine[S, E] {
	return func() Machine[S, E] {
		data, err := files.ReadFile("charts/" + name + ".json")
		if err != nil {
			panic(err)
		}
		c, err := Parse(data)
		if err != nil {
			panic(err)
		}
		return NewMachine[S, E](c)
	}
}
