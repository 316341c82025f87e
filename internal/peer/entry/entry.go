// Package entry implements typed calls between entry instances: JSON-RPC 2.0 over
// TCP, with each message prefixed by its length as a varint.
//
// Input is limited to MaxMessageBytes per message; a Server also limits connections
// and concurrent calls, see ServerOptions. A message that exceeds a limit is counted
// and rejected with a typed error before any handler sees it.
package entry

import "time"

// MaxMessageBytes is the maximum message size in bytes, in both directions. The largest
// regular message contains a manifest.
const MaxMessageBytes = 1 << 20

// maxQueuedBytes limits the bytes that wait to be written to one connection. The
// limit is reached only if the peer has stopped reading.
const maxQueuedBytes = 4 * MaxMessageBytes

// maxDiscardedBytes limits how much of an oversized message is read and discarded
// before the connection is closed. Closing a TCP connection with unread input would
// also discard the error response that is still being sent.
const maxDiscardedBytes = 8 * MaxMessageBytes

// writeTimeout limits a single write to a connection.
const writeTimeout = 2 * time.Second

// flushTimeout limits the final writes to a connection that is being closed.
const flushTimeout = 250 * time.Millisecond

// pingMethod is answered by every Server and isn't counted as a call.
const pingMethod = "Entry.Ping"

// Counter counts events by name. Implementations must be safe for concurrent use.
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
	CountRefusedMemory      = "Peer.RefusedMemory"
	CountClosedUnused       = "Peer.ClosedUnused"
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

// count increments the named counter. The counter may be nil.
func count(counter Counter, name string) {
	if counter != nil {
		counter.Add(name, 1)
	}
}

// orDefault returns value if it is positive, otherwise fallback.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// countingLogger counts the messages that jsonrpc2 would log: protocol errors, which
// the stream has already counted by kind, and responses to abandoned calls.
type countingLogger struct{ counter Counter }

// Printf implements jsonrpc2.Logger.
func (l countingLogger) Printf(string, ...any) {
	count(l.counter, CountResponsesUnmatched)
}
