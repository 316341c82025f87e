// Package intake bounds what a process holds for callers that it hasn't answered: the bytes of
// their headers and bodies, the connections of each port, and the time without progress.
package intake

import (
	"math"
	"syscall"
	"time"
)

// Bytes is a number of bytes.
type Bytes int64

// Machine is what the machine of a process allows it.
type Machine struct {
	Memory Bytes
	// Descriptors is the number of file descriptors.
	Descriptors int
}

const (
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// budgetShare of the memory is for requests, and as much for messages of other instances.
	budgetShare = 8
	// jobShare of the memory is for jobs.
	jobShare = 5
	// connectionMemoryShare of the memory is for the callers' connections.
	connectionMemoryShare = 4
	// connectionBytes is what a connection holds besides its request, with the kernel's buffers.
	connectionBytes Bytes = 48 << 10
	// callerShare of the sockets is for callers. A request may need a connection to the store and
	// one to another instance.
	callerShare = 4
	// internalShare of the sockets is for each port that isn't for callers.
	internalShare = 32

	minCallerConnections   = 16
	minInternalConnections = 8
	maxInternalConnections = 64
	// peerShare of the sockets, and peerMemoryShare of the memory at peerConnectionBytes each, is for the
	// connections of other instances, which have two each.
	peerShare                 = 3
	peerMemoryShare           = 8
	peerConnectionBytes Bytes = 32 << 10
	minPeerConnections        = 16
	maxPeerConnections        = 1024
	// minBudget is enough for a body of 256 KiB to be decoded beside small requests.
	minBudget = 6 << 20
	// internalBudgetShare of the memory is for the requests to all ports that aren't for callers.
	internalBudgetShare = 32
	minInternalBudget   = 1 << 20
	// assumedDescriptors is the number of descriptors if the system doesn't tell it.
	assumedDescriptors = 1024
)

// RequestBytes returns what a request with a body of up to largest bytes needs while it is read, where a
// body is copied into a larger buffer as it grows, and while it is decoded.
func RequestBytes(largest int64, decodingFactor Bytes) Bytes {
	const copies = 2
	return Bytes(largest)*max(copies, 1+decodingFactor) + maxHeaderMemory
}

// MaxDescriptors returns the number of file descriptors that the system allows the process.
func MaxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Limits are the bounds of a process.
type Limits struct {
	// Requests and Messages are the budgets for requests and for messages of other instances.
	Requests Bytes
	Messages Bytes
	// Internal is the budget for requests to the ports that aren't for callers.
	Internal Bytes
	// Jobs is the memory for the jobs of the shards that the process owns.
	Jobs Bytes
	// CallerConnections bounds the connections of the callers' port, InternalConnections those of
	// each other HTTP port.
	CallerConnections   int
	InternalConnections int
	// PeerConnections bounds the connections of other instances.
	PeerConnections int
}

// NewLimits returns the bounds of a process on a machine.
func NewLimits(m Machine) Limits {
	sockets := max(m.Descriptors-reservedDescriptors, 0)
	byMemory := int(m.Memory / connectionMemoryShare / connectionBytes)
	budget := max(m.Memory/budgetShare, minBudget)
	return Limits{
		Requests: budget, Messages: budget, Internal: max(m.Memory/internalBudgetShare, minInternalBudget),
		Jobs:                m.Memory / jobShare,
		CallerConnections:   max(min(sockets/callerShare, byMemory), minCallerConnections),
		InternalConnections: min(max(sockets/internalShare, minInternalConnections), maxInternalConnections),
		PeerConnections:     min(max(min(sockets/peerShare, int(m.Memory/peerMemoryShare/peerConnectionBytes)), minPeerConnections), maxPeerConnections),
	}
}

// RequestLimits bound the requests of a port. Zero values select the defaults.
type RequestLimits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time in which a header arrives, IdleTimeout the time between two
	// requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// WriteTimeout is the time after which an answer that isn't read ends its connection.
	WriteTimeout time.Duration
}

const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultWriteTimeout  = 5 * time.Second
	// headerSlack is how far a header may be over its limit.
	headerSlack = 4 << 10
	// maxHeaderBytes is the largest header that is read, whatever the limit of the port is.
	maxHeaderBytes = 64 << 10
	// maxHeaderMemory is what such a header needs, with lines of the usual length.
	maxHeaderMemory = 1 << 20
	// maxBodyTime bounds the time in which a body arrives, maxBodyPause the time without any
	// byte of it.
	maxBodyTime  = 30 * time.Second
	maxBodyPause = 5 * time.Second
	// lingerTime is how long a connection whose body was refused is still read, so that the
	// answer isn't lost by a reset.
	lingerTime = time.Second
)

func (l RequestLimits) withDefaults() RequestLimits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.HeaderBytes = min(l.HeaderBytes, maxHeaderBytes)
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.WriteTimeout <= 0 {
		l.WriteTimeout = defaultWriteTimeout
	}
	return l
}
