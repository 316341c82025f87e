// Package object implements a client of the platform's object store.
package object

import (
	"context"
	"errors"
)

// Errors of a Store. Implementations wrap them, so test for them with errors.Is.
var (
	// ErrNotFound reports that there is no object with the key.
	ErrNotFound = errors.New("object: not found")
	// ErrUnavailable reports that the service is unavailable or can't be reached.
	ErrUnavailable = errors.New("object: service unavailable")
	// ErrInvalid reports a malformed key or content that is too large. Nothing was
	// written.
	ErrInvalid = errors.New("object: invalid request")
)

// Key identifies an object.
type Key string

// Store is the object store.
type Store interface {
	// Get returns the content of an object, or ErrNotFound.
	Get(ctx context.Context, key Key) ([]byte, error)
	// Put writes an object atomically: readers see either the old or the new content.
	Put(ctx context.Context, key Key, content []byte) error
	// Delete removes an object; a missing object is not an error.
	Delete(ctx context.Context, key Key) error
}
