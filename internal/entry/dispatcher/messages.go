package dispatcher

import (
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Methods of the calls between entry instances.
const (
	helloMethod     = "Dispatch.Hello"
	submittedMethod = "Dispatch.Submitted"
	cancelledMethod = "Dispatch.Cancelled"
	stateMethod     = "Dispatch.State"
	pendingMethod   = "Dispatch.Pending"
	acceptMethod    = "Dispatch.Accept"
	relaySubmit     = "Dispatch.RelaySubmit"
	relayCancel     = "Dispatch.RelayCancel"
)

// peer is an entry instance as others know it.
type peer struct {
	Name    membership.InstanceID
	Address string
}

// helloRequest tells who asks and what it knows.
type helloRequest struct {
	From  peer
	Owner ownerRow
}

// helloAnswer tells who owns the shard and which instances there are.
type helloAnswer struct {
	// Owner is the newest owner that the instance knows.
	Owner ownerRow
	// IsOwner reports that the instance owns the shard itself.
	IsOwner bool
	// StoreLost reports that the owner can't reach the store.
	StoreLost bool
	// CanClaim reports that the instance reaches the store, so that it could replace
	// an owner.
	CanClaim bool
	Peers    []peer
}

type submittedRequest struct{ Job dispatch.Job }

type jobRequest struct{ ID dispatch.JobID }

type stateAnswer struct {
	Known bool
	State dispatch.JobState
}

type pendingRequest struct{ Queue dispatch.QueueName }

type pendingAnswer struct{ Pending int }

type emptyAnswer struct{}
