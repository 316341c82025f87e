package platform

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// MaxStoredBytes bounds the total size of all objects.
const MaxStoredBytes = 1 << 30

// objectStore keeps objects in memory.
type objectStore struct {
	mutex       sync.Mutex
	storedBytes int
	byKey       map[object.Key][]byte
}

func (o *objectStore) get(key object.Key) ([]byte, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	content, ok := o.byKey[key]
	if !ok {
		return nil, fmt.Errorf("%w: %q", object.ErrNotFound, key)
	}
	return content, nil
}

func (o *objectStore) put(key object.Key, content []byte) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	stored := o.storedBytes - len(o.byKey[key]) + len(content)
	if stored > MaxStoredBytes {
		return fmt.Errorf("%w: an object of %d bytes exceeds the store's free capacity", object.ErrInvalid, len(content))
	}
	if o.byKey == nil {
		o.byKey = map[object.Key][]byte{}
	}
	o.storedBytes = stored
	o.byKey[key] = content
	return nil
}

func (o *objectStore) remove(key object.Key) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.storedBytes -= len(o.byKey[key])
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
	s.requests.count(objectService, access)
	content, err := s.accessObject(r, key)
	s.dropResponse(objectService, access)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// The write fails only if the caller has closed the connection.
	_, _ = w.Write(content)
}

func (s *Server) accessObject(r *http.Request, key object.Key) ([]byte, error) {
	if err := key.Validate(); err != nil {
		return nil, err
	}
	body, err := readBody(r, object.MaxContentBytes)
	if err != nil {
		return nil, err
	}
	if err := s.delayOrRefuse(objectService); err != nil {
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
