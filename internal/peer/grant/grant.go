// Package grant has the messages with which entry instances lend each other the
// slots and connections of executors.
package grant

import (
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Methods between entry instances.
const (
	// MethodAcquire goes from a holder to the owner of a shard. It renews and returns
	// grants and asks for new ones.
	MethodAcquire = "Slots.Acquire"
	// MethodFence goes from a new owner to every entry instance.
	MethodFence = "Slots.Fence"
	// MethodRecall goes from an owner to a holder.
	MethodRecall = "Slots.Recall"
)

// AcquireRequest asks the owner of a shard for grants.
type AcquireRequest struct {
	Holder membership.InstanceID
	Shard  worker.ShardID
	// Base asks for base grants; only entry instances of the shard's zone get them.
	Base     bool
	Renewals []slots.Renewal
	Wants    []slots.Request
}

// AcquireAnswer has what the owner lends.
type AcquireAnswer struct {
	Epoch   worker.Epoch
	Renewed []slots.GrantID
	Grants  []slots.Grant
}

// FenceRequest tells a holder about a new owner.
type FenceRequest struct {
	Shard worker.ShardID
	Epoch worker.Epoch
}

// RecallRequest takes grants back early.
type RecallRequest struct {
	Shard worker.ShardID
	Epoch worker.Epoch
	IDs   []slots.GrantID
}

// RecallAnswer says what the holder keeps of recalled grants.
type RecallAnswer struct {
	Kept []slots.Keep
}
