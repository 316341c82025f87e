package executor

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
)

// responseBody limits the time of each read of a response body and classifies read
// errors.
type responseBody struct {
	ctx           context.Context
	cancel        context.CancelCauseFunc
	clock         clockwork.Clock
	connections   *attemptConnections
	source        io.ReadCloser
	idleTimeout   time.Duration
	endDetectable bool

	timer clockwork.Timer
	// err is the final result of reading: io.EOF or an *Error.
	err error
}

// Read returns io.EOF only at the end of a complete response.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.startReadTimer()
	n, err := b.source.Read(p)
	b.timer.Stop()
	if err != nil {
		b.err = b.classify(err)
		b.finish()
	}
	return n, b.err
}

// Close releases the connection, which is reused only if the response was read to its
// end.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.err = &Error{Class: Unknown, Reason: ReasonCanceled, Err: errors.New("body was closed before its end")}
		b.finish()
	}
	return b.source.Close()
}

// drain reads a short remainder, so that the connection can be reused, and closes the
// body.
func (b *responseBody) drain() {
	timer := b.clock.AfterFunc(drainTimeout, func() { b.cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDrainBytes))
	_ = b.Close()
}

// startReadTimer starts the idle timeout of one read. The time between reads, which
// depends on the reader, doesn't count.
func (b *responseBody) startReadTimer() {
	if b.timer != nil {
		b.timer.Reset(b.idleTimeout)
		return
	}
	b.timer = b.clock.AfterFunc(b.idleTimeout, func() {
		b.cancel(&Error{Class: Unknown, Reason: ReasonIdleTimeout})
	})
}

func (b *responseBody) classify(err error) error {
	var timeout *Error
	switch {
	case errors.Is(err, io.EOF) && b.endDetectable:
		return io.EOF
	case errors.Is(err, io.EOF):
		return &Error{Class: Unknown, Reason: ReasonNoLength}
	case errors.As(context.Cause(b.ctx), &timeout):
		b.connections.closeOlderIdle()
		return &Error{Class: Unknown, Reason: timeout.Reason, Err: err}
	case b.ctx.Err() != nil:
		return &Error{Class: Unknown, Reason: ReasonCanceled, Err: err}
	default:
		return &Error{Class: Unknown, Reason: ReasonTruncated, Err: err}
	}
}

// finish ends the request. Its connection is closed unless the response is complete.
func (b *responseBody) finish() {
	if !errors.Is(b.err, io.EOF) {
		b.connections.closeAll()
	}
	b.cancel(nil)
}
