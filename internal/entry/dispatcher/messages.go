package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
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
	estimatesMethod = "Dispatch.Estimates"
	relaySubmit     = "Dispatch.RelaySubmit"
	relayCancel     = "Dispatch.RelayCancel"
)

// peer is an entry instance as others know it.
type peer struct {
	Name    membership.InstanceID
	Address string
	// Cores is its share of processors, and Owned the number of shards it owns.
	Cores float64
	Owned int
	// Age is the time since it was heard.
	Age time.Duration `json:",omitempty"`
}

// helloRequest tells who asks and what it knows of a shard.
type helloRequest struct {
	From  peer
	Shard shardID
	Owner ownerRow
	// WantPeers asks for the known instances as well.
	WantPeers bool `json:",omitempty"`
}

// helloAnswer tells who owns the shard and which instances there are.
type helloAnswer struct {
	// Owner is the newest owner that the instance knows.
	Owner ownerRow
	// IsOwner reports that the instance owns the shard itself.
	IsOwner bool
	// StoreLost reports that the owner can't reach the store.
	StoreLost bool
	// Load is that of the shard, if the instance owns it.
	Load  balance.Load
	Peers []peer `json:",omitempty"`
}

type submittedRequest struct{ Job dispatch.Job }

// acceptRequest asks the owner of a shard to store a job. The shard of the job's id may
// have chosen another one for it.
type acceptRequest struct {
	Shard shardID
	Job   dispatch.Job
}

// jobRequest names a job and the shard that has it, which needn't be that of its id.
type jobRequest struct {
	Shard shardID
	ID    dispatch.JobID
}

type stateAnswer struct {
	Known bool
	State dispatch.JobState
	// Moved is the shard to which the job was given, nil if it stays. Stored reports
	// that the shard has it.
	Moved  *shardID `json:",omitempty"`
	Stored bool     `json:",omitempty"`
}

type pendingRequest struct {
	Shard shardID
	Queue dispatch.QueueName
}

type pendingAnswer struct{ Pending int }

type shardRequest struct{ Shard shardID }

// estimatesAnswer tells what an owner believes of pairs of images.
type estimatesAnswer struct{ Estimates []interference.Estimate }

// acceptAnswer tells that a job is stored, or why it never will be.
type acceptAnswer struct {
	Refused    string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
}

type emptyAnswer struct{}

// confirmRequest asks whether the instance could replace the owner.
type confirmRequest struct {
	Shard shardID
	Owner ownerRow
}

type confirmAnswer struct {
	// Owner is the newest owner that the instance knows.
	Owner ownerRow
	// CanClaim reports that the instance may reach the store.
	CanClaim bool
}
