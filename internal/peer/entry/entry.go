// Package entry carries typed calls between entry instances: JSON-RPC 2.0 over
// TCP, each message behind its length as a varint.
//
// Limits on input: MaxMessage bytes per message, and for a Server the connections
// and concurrent calls of its ServerOptions. A message beyond a limit is refused
// with a typed error and a counter, before any handler sees it.
package entry

import "time"

// MaxMessage is the largest message in bytes, in both directions. The largest
// regular message is a manifest body.
const MaxMessage = 1 << 20

// maxQueued is the number of bytes that wait to be written to one connection.
// Only a peer that has stopped reading lets it fill.
const maxQueued = 4 * MaxMessage

// maxDiscard is the part of an oversized message, in bytes, that is read and
// dropped, because closing with unread input would also lose the refusal.
const maxDiscard = 8 * MaxMessage

// writeTimeout bounds one write to a connection.
const writeTimeout = 2 * time.Second

// flushTimeout bounds the last writes of a connection that is being closed.
const flushTimeout = 250 * time.Millisecond

// pingMethod is answered by every Server without counting as a call.
const pingMethod = "Entry.Ping"

// Counter receives counts of events by name. Implementations are safe for
// concurrent use.
type Counter interface {
	Add(name string, delta int64)
}

// Names of the counters of this package.
const (
	CountCalls              = "Peer.Calls"
	CountCallsFailed        = "Peer.CallsFailed"
	CountCallsNotSent       = "Peer.CallsNotSent"
	CountCallsServed        = "Peer.CallsServed"
	CountRefusedBusy        = "Peer.RefusedBusy"
	CountRefusedConnection  = "Peer.RefusedConnection"
	CountRefusedMalformed   = "Peer.RefusedMalformed"
	CountRefusedMethod      = "Peer.RefusedMethod"
	CountRefusedParams      = "Peer.RefusedParams"
	CountRefusedTooLarge    = "Peer.RefusedTooLarge"
	CountConnectionsDialed  = "Peer.ConnectionsDialed"
	CountConnectionsLost    = "Peer.ConnectionsLost"
	CountConnectionsSilent  = "Peer.ConnectionsSilent"
	CountDialsFailed        = "Peer.DialsFailed"
	CountAcceptsFailed      = "Peer.AcceptsFailed"
	CountResponsesUnmatched = "Peer.ResponsesUnmatched"
)

// count adds one to a counter that may be nil.
func count(counter Counter, name string) {
	if counter != nil {
		counter.Add(name, 1)
	}
}

// orDefault returns value, or otherwise when value is not positive.
func orDefault[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// unmatchedLogger counts what jsonrpc2 would log: protocol errors, which the stream
// has counted by kind already, and responses to calls that were given up.
type unmatchedLogger struct{ counter Counter }

// Printf implements jsonrpc2.Logger.
func (l unmatchedLogger) Printf(string, ...any) {
	count(l.counter, CountResponsesUnmatched)
}
