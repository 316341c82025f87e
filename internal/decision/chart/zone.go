package chart

import "sync"

// ZoneState is a state of an availability zone.
type ZoneState string

// States of charts/zone.json.
const (
	ZoneIn        ZoneState = "In"
	ZoneLeaving   ZoneState = "Leaving"
	ZoneOut       ZoneState = "Out"
	ZoneReturning ZoneState = "Returning"
)

// ZoneEvent is an event of charts/zone.json.
type ZoneEvent string

// Events of charts/zone.json.
const (
	ZoneOnTakeOut   ZoneEvent = "TakeOut"
	ZoneOnEmptied   ZoneEvent = "Emptied"
	ZoneOnBringBack ZoneEvent = "BringBack"
	ZoneOnRamped    ZoneEvent = "Ramped"
)

var loadZone = sync.OnceValue(mustEmbedded[ZoneState, ZoneEvent]("zone"))

// Zone returns the machine of an availability zone.
func Zone() Machine[ZoneState, ZoneEvent] {
	return loadZone()
}
