// Package object speaks to the platform's object store.
package object

import (
	"context"
	"errors"
)

// Errors of a Store. Implementations wrap them, so test with errors.Is.
var (
	// ErrNotFound reports that no object has the key.
	ErrNotFound = errors.New("object: not found")
	// ErrUnavailable reports that the service refused or could not be reached.
	ErrUnavailable = errors.New("object: service unavailable")
	// ErrInvalid reports a malformed key or too large content. Nothing was written.
	ErrInvalid = errors.New("object: invalid request")
)

// Key names an object.
type Key string

// Store is the object store.
type Store interface {
	// Get returns the content of an object, or ErrNotFound.
	Get(ctx context.Context, key Key) ([]byte, error)
	// Put writes an object whole; readers see the old or the new content.
	Put(ctx context.Context, key Key, content []byte) error
	// Delete removes an object; an absent object is no error.
	Delete(ctx context.Context, key Key) error
}
