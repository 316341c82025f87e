// Package progress ends calls that make no progress. An answer that keeps arriving isn't cut off,
// however large it is and however many other calls share the link with it: a call that is cut off
// and repeated from the start may never complete.
package progress

import (
	"context"
	"sync"
	"time"
)

// callKey is the key of the *call in the values of a context.
type callKey struct{}

// call is the context of a call that must make progress.
type call struct {
	context.Context
	timeout time.Duration

	lock     sync.Mutex
	timer    *time.Timer
	deadline time.Time
}

// WithTimeout returns a context that ends with context.DeadlineExceeded when the timeout has
// passed since the start or, if that is later, since the last Made. The caller must call the
// returned function once the call has ended.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	c := &call{Context: ctx, timeout: timeout, deadline: time.Now().Add(timeout)}
	c.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return c, func() {
		c.timer.Stop()
		cancel(context.Canceled)
	}
}

// Made reports that the call with this context, or with one derived from it, has made progress.
// It does nothing for contexts without such a timeout.
func Made(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		c.extend()
	}
}

// extend restarts the timeout, unless the call has ended.
func (c *call) extend() {
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

// Value returns the call itself for callKey.
func (c *call) Value(key any) any {
	if key == (callKey{}) {
		return c
	}
	return c.Context.Value(key)
}
