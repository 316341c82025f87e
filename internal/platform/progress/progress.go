// Package progress ends calls that make no progress. An answer that keeps arriving isn't cut off,
// however large it is and however many other calls share the link with it: a call that is cut off
// and repeated from the start may never complete.
package progress

import (
	"context"
	"io"
	"sync"
	"time"
)

// maxCallTime limits a call that keeps making progress. At 0.5 Mbit/s that is enough for 1.9 MB.
const maxCallTime = 30 * time.Second

// observerKey is the key of the innermost observer in the values of a context.
type observerKey struct{}

// observer is told of the progress of a call.
type observer interface {
	progressed()
}

// call is the context of a call that must make progress.
type call struct {
	context.Context
	timeout time.Duration

	lock     sync.Mutex
	timer    *time.Timer
	deadline time.Time
}

// WithTimeout returns a context that ends with context.DeadlineExceeded when the timeout has
// passed since the start or, if that is later, since the last Made, and in any case after 30 s
// (or the timeout, if that is longer). The caller must call the returned function once the call
// has ended.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	limited, cancelLimited := context.WithTimeout(parent, max(timeout, maxCallTime))
	ctx, cancel := context.WithCancelCause(limited)
	c := &call{Context: ctx, timeout: timeout, deadline: time.Now().Add(timeout)}
	c.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return c, func() {
		c.timer.Stop()
		cancel(context.Canceled)
		cancelLimited()
	}
}

// Made reports that the call with this context, or with one derived from it, has made progress.
// It does nothing for contexts without such a timeout.
func Made(ctx context.Context) {
	if o, ok := ctx.Value(observerKey{}).(observer); ok {
		o.progressed()
	}
}

// Reader returns a reader of a response that reports the progress of the call with this context
// whenever data arrives.
func Reader(ctx context.Context, response io.Reader) io.Reader {
	return &reader{ctx, response}
}

type reader struct {
	ctx      context.Context
	response io.Reader
}

func (r *reader) Read(buffer []byte) (int, error) {
	n, err := r.response.Read(buffer)
	if n > 0 {
		Made(r.ctx)
	}
	return n, err
}

// progressed restarts the timeout, unless the call has ended.
func (c *call) progressed() {
	Made(c.Context)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.Context.Err() == nil && c.timer.Stop() {
		c.timer.Reset(c.timeout)
		c.deadline = time.Now().Add(c.timeout)
	}
}

// Deadline returns when the call ends unless it makes progress before.
func (c *call) Deadline() (time.Time, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if parent, ok := c.Context.Deadline(); ok && parent.Before(c.deadline) {
		return parent, true
	}
	return c.deadline, true
}

// Err returns context.DeadlineExceeded if the timeout has passed.
func (c *call) Err() error {
	if c.Context.Err() == nil {
		return nil
	}
	return context.Cause(c.Context)
}

// Value returns the call itself for observerKey.
func (c *call) Value(key any) any {
	if key == (observerKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// notifier is a context that passes progress on to a function.
type notifier struct {
	context.Context
	notify func()
}

// WithNotify returns a context that calls a function at each Made with it or with one derived from
// it.
func WithNotify(parent context.Context, notify func()) context.Context {
	return &notifier{parent, notify}
}

func (n *notifier) progressed() {
	Made(n.Context)
	n.notify()
}

// Value returns the notifier itself for observerKey.
func (n *notifier) Value(key any) any {
	if key == (observerKey{}) {
		return n
	}
	return n.Context.Value(key)
}
