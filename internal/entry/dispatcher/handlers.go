package dispatcher

import (
	"context"
	"errors"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
)

// localOwner returns the owner that runs the shard on this instance. If there is none,
// it returns an error for the peer that called.
func (n *Node) localOwner(id shardID) (*owner, error) {
	s, err := n.shardByID(id)
	if err != nil {
		return nil, err
	}
	o := s.owned.Load()
	if o == nil {
		return nil, entry.Errorf(entry.CodeNotOwner, "%s doesn't own shard %d", n.Name, id)
	}
	return o, nil
}

// localOwnerOfJob is like localOwner, for the home shard of a job.
func (n *Node) localOwnerOfJob(id dispatch.JobID) (*owner, error) {
	s, err := n.shardOfJob(id)
	if err != nil {
		return nil, relayError(err)
	}
	return n.localOwner(s.id)
}

func (n *Node) handleSubmitted(_ context.Context, r submittedRequest) (emptyAnswer, error) {
	o, err := n.localOwnerOfJob(r.Job.ID)
	if err != nil {
		return emptyAnswer{}, err
	}
	o.addStoredJob(r.Job)
	return emptyAnswer{}, nil
}

func (n *Node) handleCancelled(_ context.Context, r jobRequest) (emptyAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return emptyAnswer{}, err
	}
	o.applyCancel(r.ID)
	return emptyAnswer{}, nil
}

func (n *Node) handleState(_ context.Context, r jobRequest) (stateAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return stateAnswer{}, err
	}
	return o.state(r.ID), nil
}

func (n *Node) handlePending(_ context.Context, r pendingRequest) (pendingAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return pendingAnswer{}, err
	}
	return o.pending(r.Queue)
}

func (n *Node) handleRelaySubmit(ctx context.Context, r submittedRequest) (emptyAnswer, error) {
	s, err := n.shardOfJob(r.Job.ID)
	if err != nil {
		return emptyAnswer{}, relayError(err)
	}
	err = s.storeJob(ctx, r.Job)
	if errors.Is(err, errAlreadyStored) {
		return emptyAnswer{}, nil
	}
	if err != nil {
		return emptyAnswer{}, relayError(err)
	}
	s.notifyOwner(submittedMethod, r, func(o *owner) { o.addStoredJob(r.Job) })
	return emptyAnswer{}, nil
}

func (n *Node) handleRelayCancel(ctx context.Context, r jobRequest) (emptyAnswer, error) {
	s, err := n.shardByID(r.Shard)
	if err != nil {
		return emptyAnswer{}, err
	}
	if err := s.storeCancel(ctx, r.ID); err != nil {
		return emptyAnswer{}, relayError(err)
	}
	s.notifyOwner(cancelledMethod, r, func(o *owner) { o.applyCancel(r.ID) })
	return emptyAnswer{}, nil
}

// relayError returns the error that reports the result of a relayed call to the peer.
func relayError(err error) error {
	var refusal *queue.Refusal
	switch {
	case errors.As(err, &refusal):
		return entry.Errorf(entry.CodeUnavailable, "%s", refusal.Reason)
	case errors.Is(err, queue.ErrUnknownJob):
		return entry.Errorf(entry.CodeNotFound, "no such job")
	case errors.Is(err, queue.ErrOutcomeUnknown):
		return entry.Errorf(entry.CodeDeadline, "the outcome is unknown")
	default:
		return err
	}
}
