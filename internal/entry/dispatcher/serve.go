package dispatcher

import (
	"context"
	"errors"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
)

// owning returns the shard, or the error for a caller that asked the wrong instance.
func (n *Node) owning(id shardID) (*owner, error) {
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

// owningJob returns the shard of a job in the same way.
func (n *Node) owningJob(id dispatch.JobID) (*owner, error) {
	s, err := n.shardOfJob(id)
	if err != nil {
		return nil, relayError(err)
	}
	return n.owning(s.id)
}

func (n *Node) answerSubmitted(_ context.Context, r submittedRequest) (emptyAnswer, error) {
	o, err := n.owningJob(r.Job.ID)
	if err != nil {
		return emptyAnswer{}, err
	}
	o.addStoredJob(r.Job)
	return emptyAnswer{}, nil
}

func (n *Node) answerCancelled(_ context.Context, r jobRequest) (emptyAnswer, error) {
	o, err := n.owning(r.Shard)
	if err != nil {
		return emptyAnswer{}, err
	}
	o.applyCancel(r.ID)
	return emptyAnswer{}, nil
}

func (n *Node) answerState(_ context.Context, r jobRequest) (stateAnswer, error) {
	o, err := n.owning(r.Shard)
	if err != nil {
		return stateAnswer{}, err
	}
	return o.state(r.ID), nil
}

func (n *Node) answerPending(_ context.Context, r pendingRequest) (pendingAnswer, error) {
	o, err := n.owning(r.Shard)
	if err != nil {
		return pendingAnswer{}, err
	}
	return o.pending(r.Queue)
}

func (n *Node) answerRelaySubmit(ctx context.Context, r submittedRequest) (emptyAnswer, error) {
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

func (n *Node) answerRelayCancel(ctx context.Context, r jobRequest) (emptyAnswer, error) {
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

// relayError tells the asking instance what came of a relayed call.
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
