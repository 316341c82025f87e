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
	// ErrRefused reports an event that is not allowed in the current state.
	ErrRefused = errors.New("chart: the event is refused in this state")
	// ErrUnknown reports a state or an event that the chart does not define.
	ErrUnknown = errors.New("chart: unknown state or event")
)

// Machine is the compiled transition table of a chart. It is immutable and shared: a
// task stores only its current state. The zero Machine has no states.
type Machine[S, E ~string] struct {
	initial S
	final   map[S]bool
	// next has an entry for each pair of state and event. An empty target means that
	// the state refuses the event.
	next map[transitionKey[S, E]]S
}

type transitionKey[S, E ~string] struct {
	state S
	event E
}

// NewMachine compiles a validated chart.
func NewMachine[S, E ~string](c Chart) Machine[S, E] {
	m := Machine[S, E]{
		initial: S(c.Initial),
		final:   map[S]bool{},
		next:    map[transitionKey[S, E]]S{},
	}
	for _, s := range c.States {
		m.final[S(s.Name)] = s.Final
		for _, event := range c.events() {
			m.next[transitionKey[S, E]{S(s.Name), E(event)}] = ""
		}
		for _, t := range s.Events {
			m.next[transitionKey[S, E]{S(s.Name), E(t.Event)}] = S(t.Target)
		}
	}
	return m
}

// Initial returns the initial state of the chart.
func (m Machine[S, E]) Initial() S {
	return m.initial
}

// Final reports whether a state is final, that is, has no transitions.
func (m Machine[S, E]) Final(state S) bool {
	return m.final[state]
}

// Next returns the state after an event. On ErrRefused or ErrUnknown it returns the
// state unchanged.
func (m Machine[S, E]) Next(state S, event E) (S, error) {
	target, known := m.next[transitionKey[S, E]{state, event}]
	switch {
	case !known:
		return state, fmt.Errorf("%w: state %q, event %q", ErrUnknown, state, event)
	case target == "":
		return state, fmt.Errorf("%w: state %q, event %q", ErrRefused, state, event)
	default:
		return target, nil
	}
}

// embeddedLoader returns a function that loads an embedded chart. The function panics
// if the chart is invalid; the tests of this package load every chart.
func embeddedLoader[S, E ~string](name string) func() Machine[S, E] {
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
