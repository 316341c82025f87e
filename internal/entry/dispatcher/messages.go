package dispatcher

import (
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Methods of the calls between entry instances.
const (
	helloMethod     = "Dispatch.Hello"
	confirmMethod   = "Dispatch.Confirm"
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
	Peers     []peer
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

// confirmRequest asks whether the instance could replace the owner.
type confirmRequest struct{ Owner ownerRow }

type confirmAnswer struct {
	// Owner is the newest owner that the instance knows.
	Owner ownerRow
	// CanClaim reports that the instance may reach the store.
	CanClaim bool
}
