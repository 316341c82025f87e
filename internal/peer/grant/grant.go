// Package grant defines the messages between entry instances that grant, renew and
// recall the use of executor slots and connections.
package grant

import (
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Names of the RPC methods between entry instances.
const (
	// MethodAcquire is called by a holder on the owner of a shard. It renews and returns
	// grants and requests new ones.
	MethodAcquire = "Slots.Acquire"
	// MethodFence is called by a new owner of a shard on every entry instance.
	MethodFence = "Slots.Fence"
	// MethodRecall is called by the owner of a shard on a holder.
	MethodRecall = "Slots.Recall"
)

// AcquireRequest requests grants from the owner of a shard.
type AcquireRequest struct {
	Holder membership.InstanceID
	Shard  worker.ShardID
	// Base requests base grants, which only entry instances in the shard's availability
	// zone receive.
	Base     bool
	Renewals []slots.Renewal
	Wants    []slots.Request
}

// AcquireAnswer lists the renewed and the new grants.
type AcquireAnswer struct {
	Epoch   worker.Epoch
	Renewed []slots.GrantID
	Grants  []slots.Grant
}

// FenceRequest announces a shard's new owner, identified by its epoch.
type FenceRequest struct {
	Shard worker.ShardID
	Epoch worker.Epoch
}

// RecallRequest revokes grants before their term ends.
type RecallRequest struct {
	Shard worker.ShardID
	Epoch worker.Epoch
	IDs   []slots.GrantID
}

// RecallAnswer lists the part of the recalled grants that the holder still uses.
type RecallAnswer struct {
	Kept []slots.KeptAmount
}
