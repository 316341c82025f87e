package chart

import "sync"

// ZoneState is a state of an availability zone.
type ZoneState string

// States of charts/zone.json.
const (
	ZoneIn  ZoneState = "In"
	ZoneOut ZoneState = "Out"
	// ZoneReturning zones are in service again, with a bound on starts that rises.
	ZoneReturning ZoneState = "Returning"
)

// ZoneEvent is an event of charts/zone.json.
type ZoneEvent string

// Events of charts/zone.json.
const (
	ZoneOnTakeOut   ZoneEvent = "TakeOut"
	ZoneOnBringBack ZoneEvent = "BringBack"
	ZoneOnRamped    ZoneEvent = "Ramped"
)

var loadZone = sync.OnceValue(mustEmbedded[ZoneState, ZoneEvent]("zone"))

// Zone returns the machine of an availability zone.
func Zone() Machine[ZoneState, ZoneEvent] {
	return loadZone()
}
