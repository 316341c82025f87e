package dispatcher

import (
	"context"
	"errors"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
)

// owning returns the shard, or the error for a caller that asked the wrong instance.
func (n *Node) owning() (*owner, error) {
	o := n.owned.Load()
	if o == nil {
		return nil, entry.Errorf(entry.CodeNotOwner, "%s doesn't own the shard", n.Name)
	}
	return o, nil
}

func (n *Node) answerSubmitted(_ context.Context, r submittedRequest) (emptyAnswer, error) {
	o, err := n.owning()
	if err != nil {
		return emptyAnswer{}, err
	}
	o.submitted(r.Job)
	return emptyAnswer{}, nil
}

func (n *Node) answerCancelled(_ context.Context, r jobRequest) (emptyAnswer, error) {
	o, err := n.owning()
	if err != nil {
		return emptyAnswer{}, err
	}
	o.cancelled(r.ID)
	return emptyAnswer{}, nil
}

func (n *Node) answerState(_ context.Context, r jobRequest) (stateAnswer, error) {
	o, err := n.owning()
	if err != nil {
		return stateAnswer{}, err
	}
	return o.state(r.ID), nil
}

func (n *Node) answerPending(_ context.Context, r pendingRequest) (pendingAnswer, error) {
	o, err := n.owning()
	if err != nil {
		return pendingAnswer{}, err
	}
	return o.pending(r.Queue)
}

func (n *Node) answerRelaySubmit(ctx context.Context, r submittedRequest) (emptyAnswer, error) {
	err := n.submitHere(ctx, r.Job)
	if errors.Is(err, errRepeated) {
		return emptyAnswer{}, nil
	}
	if err != nil {
		return emptyAnswer{}, relayError(err)
	}
	n.notify(submittedMethod, r, func(o *owner) { o.submitted(r.Job) })
	return emptyAnswer{}, nil
}

func (n *Node) answerRelayCancel(ctx context.Context, r jobRequest) (emptyAnswer, error) {
	if err := n.cancelHere(ctx, r.ID); err != nil {
		return emptyAnswer{}, relayError(err)
	}
	n.notify(cancelledMethod, r, func(o *owner) { o.cancelled(r.ID) })
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
