package platform

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// MaxStored bounds the content of all objects together, in bytes.
const MaxStored = 1 << 30

// objects is the object store.
type objects struct {
	mutex  sync.Mutex
	stored int
	byKey  map[object.Key][]byte
}

func (o *objects) get(key object.Key) ([]byte, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	content, ok := o.byKey[key]
	if !ok {
		return nil, fmt.Errorf("%w: %q", object.ErrNotFound, key)
	}
	return content, nil
}

func (o *objects) put(key object.Key, content []byte) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	stored := o.stored - len(o.byKey[key]) + len(content)
	if stored > MaxStored {
		return fmt.Errorf("%w: the store has no room for %d bytes", object.ErrInvalid, len(content))
	}
	if o.byKey == nil {
		o.byKey = map[object.Key][]byte{}
	}
	o.stored = stored
	o.byKey[key] = content
	return nil
}

func (o *objects) remove(key object.Key) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.stored -= len(o.byKey[key])
	delete(o.byKey, key)
}

func objectKey(r *http.Request) (object.Key, bool) {
	key, ok := strings.CutPrefix(r.URL.Path, object.PathPrefix)
	return object.Key(key), ok
}

func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, key object.Key) {
	access := write
	if r.Method == http.MethodGet {
		access = read
	}
	s.usage.count(objectService, access)
	content, err := s.runObject(r, key)
	s.loseAnswer(objectService, access)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A failed write means that the caller is gone.
	_, _ = w.Write(content)
}

func (s *Server) runObject(r *http.Request, key object.Key) ([]byte, error) {
	if err := key.Validate(); err != nil {
		return nil, err
	}
	body, err := readBody(r, object.MaxContent)
	if err != nil {
		return nil, err
	}
	if err := s.admit(objectService); err != nil {
		return nil, err
	}
	switch r.Method {
	case http.MethodGet:
		return s.objects.get(key)
	case http.MethodPut:
		return nil, s.objects.put(key, body)
	case http.MethodDelete:
		s.objects.remove(key)
		return nil, nil
	default:
		return nil, fmt.Errorf("%w: method %s", errInvalid, r.Method)
	}
}
