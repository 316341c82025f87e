package dispatcher

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// maxDecodedChanges limits the size of decompressed changes in bytes. An answer of the store has
// the same limit.
const maxDecodedChanges = 8 << 20

// changesEncoder encodes changes of one history with gob and gzip. It keeps the last result,
// because several instances ask for the same changes. The zero value is ready to use.
type changesEncoder struct {
	lock sync.Mutex
	// count and last tell the changes of the last result: those of a history that end at a
	// version are the same if their number is.
	count   int
	last    table.Version
	encoded []byte
}

// encode returns the encoded changes, which must be in the order of their versions and not empty.
func (e *changesEncoder) encode(changes []table.Change) ([]byte, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	count, last := len(changes), changes[len(changes)-1].Version
	if e.encoded != nil && e.count == count && e.last == last {
		return e.encoded, nil
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(changes); err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	compressed, err := compress(buffer.Bytes())
	if err != nil {
		return nil, fmt.Errorf("changes: %w", err)
	}
	e.count, e.last, e.encoded = count, last, compressed
	return e.encoded, nil
}

// decodeChanges returns the changes that encode has encoded, none for nil.
func decodeChanges(encoded []byte) ([]table.Change, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	content, err := decompress(encoded, maxDecodedChanges)
	if err != nil {
		return nil, fmt.Errorf("changes: %w", err)
	}
	var changes []table.Change
	if err := gob.NewDecoder(bytes.NewReader(content)).Decode(&changes); err != nil {
		return nil, fmt.Errorf("decode changes: %w", err)
	}
	return changes, nil
}
