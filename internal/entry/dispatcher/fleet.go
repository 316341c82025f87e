package dispatcher

import (
	"bytes"
	"slices"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// maxPageBytes limits the size of a row that lists workers in use. The store accepts
// rows of up to 64 KiB, which hold about 250 workers.
const maxPageBytes = 40 << 10

// fleetPages encodes the workers in use as the values of one or more rows.
func fleetPages(workers []dispatch.WorkerInfo) [][]byte {
	var pages, page [][]byte
	size := 0
	for _, w := range workers {
		encoded := encode(w)
		if len(page) > 0 && size+len(encoded) > maxPageBytes {
			pages = append(pages, joinArray(page))
			page, size = nil, 0
		}
		page, size = append(page, encoded), size+len(encoded)
	}
	if len(page) > 0 {
		pages = append(pages, joinArray(page))
	}
	return pages
}

// joinArray returns the JSON array of encoded values.
func joinArray(values [][]byte) []byte {
	return slices.Concat([]byte("["), bytes.Join(values, []byte(",")), []byte("]"))
}

// fleetWrites returns the writes for the rows that differ from the stored ones.
func (p partition) fleetWrites(stored, pages [][]byte) []table.Write {
	var writes []table.Write
	for i := range max(len(stored), len(pages)) {
		switch {
		case i >= len(pages):
			writes = append(writes, table.Write{Key: p.fleetKey(i), Delete: true})
		case i >= len(stored) || !bytes.Equal(stored[i], pages[i]):
			writes = append(writes, table.Write{Key: p.fleetKey(i), Value: pages[i]})
		}
	}
	return writes
}
