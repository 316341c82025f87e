package dispatcher

import (
	"bytes"
	"slices"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// maxPageBytes bounds a row with workers in use. The store takes 64 KiB, which holds some
// 250 workers.
const maxPageBytes = 40 << 10

// fleetPages returns the workers in use as the contents of rows.
func fleetPages(workers []dispatch.WorkerInfo) [][]byte {
	var pages, page [][]byte
	size := 0
	for _, w := range workers {
		entry := encode(w)
		if len(page) > 0 && size+len(entry) > maxPageBytes {
			pages = append(pages, joinArray(page))
			page, size = nil, 0
		}
		page, size = append(page, entry), size+len(entry)
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

// writesOfFleet returns the rows that differ from those stored before.
func (p partition) writesOfFleet(stored, pages [][]byte) []table.Write {
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
