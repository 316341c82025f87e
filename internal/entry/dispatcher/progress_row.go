package dispatcher

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// maxProgressBytes keeps a progress row below the limit of the store, which is 64 KiB
	// before the row is encoded for the wire.
	maxProgressBytes = 60 << 10
	// maxDecodedProgress limits the size of a decompressed progress row in bytes.
	maxDecodedProgress = 8 << 20
)

// gzipMagic begins each compressed value. JSON never begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// encodeProgress returns the value of a progress row. One that would be too large is compressed; earlier
// builds can't read that. If it is still too large, the checkpoints are omitted, which costs no more than
// that some work is repeated.
func encodeProgress(p dispatch.Progress) []byte {
	value := encode(p)
	if len(value) <= maxProgressBytes {
		return value
	}
	if compressed, err := compress(value); err == nil && len(compressed) <= maxProgressBytes {
		return compressed
	}
	steps := slices.Clone(p.Steps)
	for i := range steps {
		steps[i].Checkpoints = nil
	}
	value = encode(dispatch.Progress{Steps: steps})
	if compressed, err := compress(value); err == nil {
		return compressed
	}
	return value
}

// decodeProgress decodes the value of a progress row.
func decodeProgress(row table.Row) (dispatch.Progress, error) {
	if !bytes.HasPrefix(row.Value, gzipMagic) {
		return decode[dispatch.Progress](row)
	}
	value, err := decompress(row.Value, maxDecodedProgress)
	if err != nil {
		return dispatch.Progress{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return decode[dispatch.Progress](table.Row{Key: row.Key, Value: value, Version: row.Version})
}
