package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// RetryAfter is the delay after which a caller should repeat a request that was refused because
// the memory for requests was used up. By then, requests that don't arrive can be ended.
const RetryAfter = time.Second

// IsRefusal reports whether the error of ReadBody or TakeForDecoding means that the instance has
// no room for the request now. Nothing of it has run, so the caller may repeat it.
func IsRefusal(err error) bool {
	return errors.Is(err, ErrExhausted) || errors.Is(err, ErrEnded) || errors.Is(err, ErrStalled)
}

// ReadBody reads the body of a request, of up to limit bytes. It takes memory in steps as the body
// arrives, from the budget of the request's port. Its error is a *http.MaxBytesError if the body
// is larger, satisfies IsRefusal if there is no room for it or it arrives too slowly, is
// context.DeadlineExceeded if it hasn't arrived by the deadline of ctx, and is otherwise that of
// the read. The bytes are given back once the request is answered. A request that doesn't come
// from a Port is read without a budget and time limits.
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		CloseAfterAnswer(w, r)
		delayClose(w)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	c := connectionOf(r)
	b := body{connection: c, source: r.Body, expected: r.ContentLength, limit: limit}
	if c == nil {
		return b.read(ctx)
	}
	if mayIgnoreBody(r.Method) {
		c.awaitBody()
	}
	b.deadline = time.Now().Add(maxBodyTime)
	// The port has set a deadline for the first part.
	b.extendedAt = time.Now()
	requestDeadline, limited := ctx.Deadline()
	limited = limited && requestDeadline.Before(b.deadline)
	if limited {
		b.deadline = requestDeadline
	}
	content, err := b.read(ctx)
	if err == nil {
		// It may have been ended at the moment in which its last part arrived.
		err = c.lease.Received()
	}
	if err == nil {
		c.enter(phaseHandling)
		return content, c.Conn.SetReadDeadline(time.Time{})
	}
	if isTimeout(err) {
		switch {
		case c.lease.wasEnded():
			err = ErrEnded
		case errors.Is(ctx.Err(), context.DeadlineExceeded) || limited && !time.Now().Before(requestDeadline):
			err = context.DeadlineExceeded
		default:
			err = ErrStalled
		}
	}
	if IsRefusal(err) {
		c.port.refused("Body", err)
	}
	CloseAfterAnswer(w, r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		delayClose(w)
	}
	return nil, err
}

// CloseAfterAnswer makes the server close the connection after the answer to a request whose body
// wasn't read, without waiting long for the rest of the body.
func CloseAfterAnswer(w http.ResponseWriter, r *http.Request) {
	if c := connectionOf(r); c != nil {
		w.Header().Set("Connection", "close")
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// delayClose makes the server end its side of the connection after the answer and wait for a moment before it
// closes the connection, as it does after a body that is too large for a http.MaxBytesReader. It doesn't by itself
// if the caller asked for the connection to be closed, and a reset, because of what wasn't read, would then
// overtake the answer.
func delayClose(w http.ResponseWriter) {
	const tooMuch = "x"
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader(tooMuch)), 0).Read(make([]byte, len(tooMuch)))
}

// TakeForDecoding takes memory for a body to be decoded, which needs up to factor times its size,
// until giveBack is called. Small bodies need none.
func TakeForDecoding(r *http.Request, size int, factor Bytes) (giveBack func(), err error) {
	c := connectionOf(r)
	if c == nil || Bytes(size) <= firstKnownStepBytes {
		return func() {}, nil
	}
	n := Bytes(size) * factor
	if err := c.lease.Take(c.port.Clock.Now(), n); err != nil {
		c.port.refused("Body", err)
		return nil, err
	}
	return func() { c.lease.Give(n) }, nil
}

// body is a body that is being read.
type body struct {
	connection *connection
	source     io.Reader
	// expected is the declared length, negative if it is unknown.
	expected int64
	limit    int64
	deadline time.Time
	// extendedAt is when the deadline of the next part was last set.
	extendedAt time.Time
	parts      int
}

const (
	// firstStepBytes is what a body of unknown length begins with, firstKnownStepBytes what one of known
	// length begins with at most.
	firstStepBytes      = 1 << 10
	firstKnownStepBytes = 8 << 10
)

// read reads the body into a buffer that grows as the body arrives.
func (b *body) read(ctx context.Context) ([]byte, error) {
	var content []byte
	for {
		if len(content) == cap(content) {
			grown, err := b.grow(content)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		if err := b.extendReadDeadline(ctx); err != nil {
			return nil, err
		}
		n, err := b.source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > b.limit:
			return nil, &http.MaxBytesError{Limit: b.limit}
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a larger buffer with the content, up to one byte more than the body may have.
func (b *body) grow(content []byte) ([]byte, error) {
	most := b.limit + 1
	size := max(2*int64(cap(content)), firstStepBytes)
	if b.expected >= 0 {
		most = b.expected + 1
		size = max(size, min(most, firstKnownStepBytes))
	}
	size = min(size, most)
	if b.connection != nil {
		if err := b.connection.lease.Take(b.connection.port.Clock.Now(), Bytes(size)); err != nil {
			return nil, err
		}
		defer b.connection.lease.Give(Bytes(cap(content)))
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	return grown, nil
}

// extendReadDeadline sets the deadline for the next part of the body.
func (b *body) extendReadDeadline(ctx context.Context) error {
	if b.connection == nil {
		return nil
	}
	now := time.Now()
	b.parts++
	if b.parts == 1 || b.parts > 2 && now.Sub(b.extendedAt) < deadlineStep {
		return nil
	}
	b.extendedAt = now
	deadline := now.Add(maxBodyPause)
	if b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	if err := b.connection.Conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	// The read may have been interrupted before its deadline was extended.
	if b.connection.lease.wasEnded() {
		return ErrEnded
	}
	return ctx.Err()
}
