// Package configuration holds the manifest that is in force on an entry instance, loads
// manifests from the table and publishes new versions.
package configuration

import (
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// Holder holds the manifest in force, whose version never decreases. It is safe for
// concurrent use. The zero value holds no manifest (Version 0).
type Holder struct {
	mu      sync.RWMutex
	current manifest.Published
	changed chan struct{}
}

// Current returns the manifest in force. Its Version is 0 if there is none yet.
func (h *Holder) Current() manifest.Published {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// ApplyIfNewer puts a manifest in force if its version is higher than the current one, and
// reports whether it did.
func (h *Holder) ApplyIfNewer(p manifest.Published) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Version <= h.current.Version {
		return false
	}
	h.current = p
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Changed returns a channel that is closed when a newer manifest is put in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}
