package dispatcher

import (
	"bytes"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// maxPageBytes bounds a row with workers in use. The store takes 64 KiB, which holds some
// 250 workers.
const maxPageBytes = 40 << 10

// fleetPages returns the workers in use as the contents of rows.
func fleetPages(workers []dispatch.WorkerInfo) [][]byte {
	var pages [][]byte
	for len(workers) > 0 {
		size, count := 0, 0
		for count < len(workers) {
			size += len(encode(workers[count]))
			if count > 0 && size > maxPageBytes {
				break
			}
			count++
		}
		pages = append(pages, encode(workers[:count]))
		workers = workers[count:]
	}
	return pages
}

// writesOfFleet returns the rows that differ from those stored before.
func (p part) writesOfFleet(stored, pages [][]byte) []table.Write {
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
