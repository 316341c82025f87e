// Package mechanism names the optional parts of the scheduling policy, so that an
// operator or an experiment can disable them one by one.
//
// Checks that keep a promise to callers or backend servers, such as capacity, leases
// and epochs, aren't mechanisms and can't be disabled.
package mechanism

import (
	"fmt"
	"strings"
)

// Mechanism is an optional part of the scheduling policy.
type Mechanism uint8

// Mechanisms.
const (
	ServingCost Mechanism = iota
	Consolidation
	BetterWorkerWait
	Holds
	Scarcity
	MeasuredUse
	TailLatencyCost
	UncertainMixCost
	TrialLimit
	InterferenceEviction
	SuspectEviction
	PaceControl
	ForcedStarts
	FaultyWorkers
	SlowWorkers
	Quarantine
	Stragglers
	SecondCopies
	ValueDensity
	UrgencyClasses
	YieldToShortTasks
	Preemption
	OverloadRefusal
	StartRetries
	StartWindow
	ShardBalance
	EstimateExchange
	OwnerRebalance
	ZoneReader
	Replacement
	FanIn
	Reservations
	Backfill
	LargeGaps
	count
)

// Info describes a mechanism.
type Info struct {
	Name string
	// Load is the load or the fault that the mechanism answers.
	Load string
}

var infos = [count]Info{
	ServingCost:          {"ServingCost", "serving tasks of many images, some of which block many fillers"},
	Consolidation:        {"Consolidation", "running serving tasks that block fillers on their workers"},
	BetterWorkerWait:     {"BetterWorkerWait", "a new serving task for which only workers that fillers need have room"},
	Holds:                {"Holds", "long-running tasks that fit on no worker because the free capacity is fragmented"},
	Scarcity:             {"Scarcity", "filler images that only a few workers accept"},
	MeasuredUse:          {"MeasuredUse", "fillers that wait while serving tasks use little of what they reserve"},
	TailLatencyCost:      {"TailLatencyCost", "serving tasks that are already close to their targets"},
	UncertainMixCost:     {"UncertainMixCost", "fillers of several images whose interference isn't known yet"},
	TrialLimit:           {"TrialLimit", "a burst of fillers whose interference isn't known yet"},
	InterferenceEviction: {"InterferenceEviction", "running fillers that are found to interfere with serving tasks"},
	SuspectEviction:      {"SuspectEviction", "a serving task far over its target beside a filler that may be the cause"},
	PaceControl:          {"PaceControl", "serving tasks over their targets for longer than a load peak"},
	ForcedStarts:         {"ForcedStarts", "fillers that no worker accepts for seconds"},
	FaultyWorkers:        {"FaultyWorkers", "workers on which serving tasks are slow for reasons other than fillers"},
	SlowWorkers:          {"SlowWorkers", "workers on which tasks take longer than elsewhere"},
	Quarantine:           {"Quarantine", "workers that fail everything that they start"},
	Stragglers:           {"Stragglers", "single tasks that hang or take far longer than others of their step"},
	SecondCopies:         {"SecondCopies", "single runs that take far longer than a copy on another worker would, of steps that allow copies"},
	ValueDensity:         {"ValueDensity", "more work than capacity within a queue"},
	UrgencyClasses:       {"UrgencyClasses", "a backlog in which some jobs can no longer end in time"},
	YieldToShortTasks:    {"YieldToShortTasks", "long-running tasks that compete with short ones for the same room"},
	Preemption:           {"Preemption", "urgent tasks that wait while less urgent ones occupy the workers"},
	OverloadRefusal:      {"OverloadRefusal", "jobs that could end only after they have lost their value"},
	StartRetries:         {"StartRetries", "start commands that get no answer"},
	StartWindow:          {"StartWindow", "an owner that hasn't the processor time to read the answers to all starts of its backlog in time"},
	ShardBalance:         {"ShardBalance", "shards with unequal load"},
	EstimateExchange:     {"EstimateExchange", "images that run in several shards"},
	OwnerRebalance:       {"OwnerRebalance", "instances that own more shards than others"},
	ZoneReader:           {"ZoneReader", "a large configuration that all instances of an availability zone read over one link"},
	Replacement:          {"Replacement", "many workers that are replaced one after the other"},
	FanIn:                {"FanIn", "hundreds of instances that read the same rows and call the same owners"},
	Reservations:         {"Reservations", "large tasks that wait while smaller ones take each gap"},
	Backfill:             {"Backfill", "small tasks that wait while room is kept for larger ones"},
	LargeGaps:            {"LargeGaps", "small tasks that fragment the room while larger ones find none"},
}

// Info returns the name of the mechanism and the load that it answers.
func (m Mechanism) Info() Info {
	return infos[m]
}

// String returns the name of the mechanism.
func (m Mechanism) String() string {
	return infos[m].Name
}

// All returns all mechanisms.
func All() []Mechanism {
	list := make([]Mechanism, count)
	for i := range list {
		list[i] = Mechanism(i)
	}
	return list
}

// Set is a set of mechanisms. The zero value is empty.
type Set uint64

// Of returns the set of the given mechanisms.
func Of(list ...Mechanism) Set {
	var s Set
	for _, m := range list {
		s |= 1 << m
	}
	return s
}

// OffByDefault returns the mechanisms that aren't used unless an operator enables them, because no
// deployment so far has gained by them.
func OffByDefault() Set {
	return Of(LargeGaps)
}

// Without returns the mechanisms of the set that aren't in the other one.
func (s Set) Without(other Set) Set {
	return s &^ other
}

// Union returns the mechanisms of both sets.
func (s Set) Union(other Set) Set {
	return s | other
}

// Has reports whether the set has the mechanism.
func (s Set) Has(m Mechanism) bool {
	return s&(1<<m) != 0
}

// Names returns the names of the mechanisms in the set.
func (s Set) Names() []string {
	var names []string
	for _, m := range All() {
		if s.Has(m) {
			names = append(names, m.String())
		}
	}
	return names
}

// Parse returns the set of the mechanisms with the given names. The error has all
// unknown names and lists the known ones.
func Parse(names []string) (Set, error) {
	byName := map[string]Mechanism{}
	for _, m := range All() {
		byName[m.String()] = m
	}
	var s Set
	var unknown []string
	for _, name := range names {
		m, known := byName[name]
		if !known {
			unknown = append(unknown, fmt.Sprintf("%q", name))
			continue
		}
		s |= Of(m)
	}
	if len(unknown) > 0 {
		return 0, &UnknownError{unknown}
	}
	return s, nil
}

// UnknownError reports names that aren't those of mechanisms.
type UnknownError struct {
	// Names are the unknown names, quoted.
	Names []string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: no such mechanism; known are %s", strings.Join(e.Names, ", "), strings.Join((^Set(0)).Names(), ", "))
}
