package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Method names of the calls between entry instances.
const (
	helloMethod       = "Dispatch.Hello"
	confirmMethod     = "Dispatch.Confirm"
	submittedMethod   = "Dispatch.Submitted"
	cancelledMethod   = "Dispatch.Cancelled"
	stateMethod       = "Dispatch.State"
	pendingMethod     = "Dispatch.Pending"
	acceptMethod      = "Dispatch.Accept"
	transferMethod    = "Dispatch.Transfer"
	endTransferMethod = "Dispatch.EndTransfer"
	estimatesMethod   = "Dispatch.Estimates"
	relaySubmitMethod = "Dispatch.RelaySubmit"
	relayCancelMethod = "Dispatch.RelayCancel"
	// operatorRowsMethod is unknown to instances of earlier builds.
	operatorRowsMethod = "Dispatch.OperatorRows"
	// peersMethod is unknown to instances of earlier builds.
	peersMethod = "Dispatch.Peers"
	// workerRowsMethod is unknown to instances of earlier builds.
	workerRowsMethod = "Dispatch.WorkerRows"
)

// peer describes an entry instance to other instances.
type peer struct {
	Name    membership.InstanceID
	Address string
	// Cores is its share of processors, and Owned the number of shards that it owns.
	Cores float64
	Owned int
	// Transfers reports that the instance knows of tasks that were transferred between shards.
	Transfers bool `json:",omitempty"`
	// Age is the time since the instance was last heard from.
	Age time.Duration `json:",omitempty"`
}

// helloRequest identifies the instance that calls and reports what it knows about a
// shard.
type helloRequest struct {
	From  peer
	Shard shardID
	Owner ownerRow
	// WantPeers asks for the known instances as well.
	WantPeers bool `json:",omitempty"`
}

// helloAnswer reports the owner of the shard and, on request, the known instances.
type helloAnswer struct {
	// Owner is the newest owner that the instance knows.
	Owner ownerRow
	// IsOwner reports that the instance owns the shard itself.
	IsOwner bool
	// StoreLost reports that the owner can't reach the store.
	StoreLost bool
	// Load is the load of the shard, if the instance owns it.
	Load  balance.Load
	Peers []peer `json:",omitempty"`
}

// submittedRequest notifies the owner of a stored job, or relays a job to a peer that is
// to store it.
type submittedRequest struct{ Job dispatch.Job }

// acceptRequest asks the owner of a shard to store a job. The shard may be a target
// that the job's home shard has chosen.
type acceptRequest struct {
	Shard shardID
	Job   dispatch.Job
}

// jobRequest names a job and the shard that has it, which needn't be its home shard.
type jobRequest struct {
	Shard shardID
	ID    dispatch.JobID
}

type stateAnswer struct {
	Known bool
	State dispatch.JobState
	// Moved is the shard that the job was moved to, nil if it wasn't moved. Stored reports
	// that the other shard has stored it.
	Moved  *shardID `json:",omitempty"`
	Stored bool     `json:",omitempty"`
}

type pendingRequest struct {
	Shard shardID
	Queue dispatch.QueueName
}

type pendingAnswer struct{ Pending int }

type shardRequest struct{ Shard shardID }

// estimatesAnswer returns an owner's interference estimates for pairs of images.
type estimatesAnswer struct{ Estimates []interference.Estimate }

// acceptAnswer reports that a job is stored, or why it never will be.
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
	// CanClaim reports that the instance may be able to reach the store, and so to claim
	// the shard.
	CanClaim bool
}

// directoryEntry is an instance in the list of a directory. Its zone isn't a field of peer because
// instances of earlier builds reject calls with unknown fields.
type directoryEntry struct {
	peer
	Zone membership.Zone `json:",omitempty"`
}

// peersRequest tells which instance calls, and asks for the instances that are alive.
type peersRequest struct {
	From peer
	// Zone is the availability zone of the caller.
	Zone membership.Zone `json:",omitempty"`
}

// peersAnswer has the instances as encodedPeers encodes them, and the age of that list.
type peersAnswer struct {
	Peers []byte
	Age   time.Duration
	// ChoosesLayout reports that the instance knows the layout or is about to choose it.
	ChoosesLayout bool `json:",omitempty"`
}

// workerRowsRequest asks an instance that follows the list of workers for the changes of a shard's
// workers after a version. If there are none, the instance waits for one.
type workerRowsRequest struct {
	Shard shardID
	After table.Version
	Wait  time.Duration
}

// workerRowsAnswer has the changes, without those that are only heartbeats.
type workerRowsAnswer struct {
	// Version is the version up to which the changes are complete.
	Version table.Version
	// Age is the time since the instance read the list from the store.
	Age time.Duration
	// Changes has the changes as a changesEncoder encodes them, nil if there are none.
	Changes []byte `json:",omitempty"`
}

// operatorRowsRequest asks an instance of the same availability zone for the changes of the
// operator's rows after a version. If there are none, the instance waits for one.
type operatorRowsRequest struct {
	Zone  membership.Zone
	After table.Version
	Wait  time.Duration
}

// operatorRowsAnswer has the changes. An instance of another zone answers with its zone only.
type operatorRowsAnswer struct {
	Zone membership.Zone
	// Version is the version up to which the changes are complete.
	Version table.Version `json:",omitempty"`
	// Age is the time since the instance read the rows from the store.
	Age time.Duration `json:",omitempty"`
	// Changes has the changes as a changesEncoder encodes them, nil if there are none.
	Changes []byte `json:",omitempty"`
}
