package executor

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
)

// responseBody bounds the reads of an answer and classifies their errors.
type responseBody struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	clock       clockwork.Clock
	used        *use
	raw         io.ReadCloser
	idleTimeout time.Duration
	delimited   bool

	timer clockwork.Timer
	// err is the final result of reading: io.EOF or an *Error.
	err error
}

// Read returns io.EOF only at the end of a whole answer.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.arm()
	n, err := b.raw.Read(p)
	b.timer.Stop()
	if err != nil {
		b.err = b.classify(err)
		b.release()
	}
	return n, b.err
}

// Close frees the connection, which is only reused if the answer has ended.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.err = &Error{Class: Unknown, Reason: ReasonCanceled, Err: errors.New("the body was closed")}
		b.release()
	}
	return b.raw.Close()
}

// drain reads a short rest and closes the body.
func (b *responseBody) drain() {
	timer := b.clock.AfterFunc(drainTimeout, func() { b.cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(b, drainBytes))
	_ = b.Close()
}

// arm starts the bound of one read. Time that the reader takes between reads does
// not count.
func (b *responseBody) arm() {
	if b.timer != nil {
		b.timer.Reset(b.idleTimeout)
		return
	}
	b.timer = b.clock.AfterFunc(b.idleTimeout, func() {
		b.cancel(&Error{Class: Unknown, Reason: ReasonIdle})
	})
}

func (b *responseBody) classify(err error) error {
	var bound *Error
	switch {
	case errors.Is(err, io.EOF) && b.delimited:
		return io.EOF
	case errors.Is(err, io.EOF):
		return &Error{Class: Unknown, Reason: ReasonNoLength}
	case errors.As(context.Cause(b.ctx), &bound):
		b.used.retireIdle()
		return &Error{Class: Unknown, Reason: bound.Reason, Err: err}
	case b.ctx.Err() != nil:
		return &Error{Class: Unknown, Reason: ReasonCanceled, Err: err}
	default:
		return &Error{Class: Unknown, Reason: ReasonTruncated, Err: err}
	}
}

// release ends the request. Its connection is closed unless the answer is whole.
func (b *responseBody) release() {
	if !errors.Is(b.err, io.EOF) {
		b.used.retire()
	}
	b.cancel(nil)
}
