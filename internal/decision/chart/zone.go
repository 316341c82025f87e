package chart

import "sync"

// ZoneState tells whether an availability zone is in service.
type ZoneState string

// States in charts/zone.json.
const (
	ZoneIn  ZoneState = "In"
	ZoneOut ZoneState = "Out"
	// ZoneReturning means that the zone is in service again, with a limit on task
	// starts that rises over time.
	ZoneReturning ZoneState = "Returning"
)

// ZoneEvent is an event in charts/zone.json.
type ZoneEvent string

// Events in charts/zone.json.
const (
	ZoneOnTakeOut      ZoneEvent = "TakeOut"
	ZoneOnBringBack    ZoneEvent = "BringBack"
	ZoneOnRampComplete ZoneEvent = "Ramped"
)

var loadZone = sync.OnceValue(embeddedLoader[ZoneState, ZoneEvent]("zone"))

// Zone returns the state machine of an availability zone.
func Zone() Machine[ZoneState, ZoneEvent] {
	return loadZone()
}
