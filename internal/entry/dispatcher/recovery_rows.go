package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// maxRecordPages limits the rows of a recovery record, so that they fit into the transaction that
	// releases the shard. A page has the runs of over a thousand tasks.
	maxRecordPages = 8
	// maxDecodedRecordPage limits the size of a decompressed page in bytes.
	maxDecodedRecordPage = 4 << 20
	// maxReleaseParts limits the other parts of that transaction, in addition to the record.
	maxReleaseParts = 40
)

// recordPage is one of the rows that hold the recovery record of an owner that released its shard.
type recordPage struct {
	Epoch dispatch.Epoch
	// Pages is the number of rows that hold the record.
	Pages int
	dispatch.RecoveryRecord
}

// recordPages encodes a recovery record as the compressed values of one or more rows. It fails if the
// record needs too many.
func recordPages(epoch dispatch.Epoch, record dispatch.RecoveryRecord) ([][]byte, error) {
	for count := 1; count <= maxRecordPages; count++ {
		pages, err := recordInPages(epoch, record, count)
		if err != nil {
			return nil, err
		}
		if !slices.ContainsFunc(pages, func(page []byte) bool { return len(page) > maxListBytes }) {
			return pages, nil
		}
	}
	return nil, fmt.Errorf("the recovery record of %d workers needs more than %d rows", len(record.Workers), maxRecordPages)
}

// recordInPages encodes a recovery record as the given number of rows with about as many workers each.
func recordInPages(epoch dispatch.Epoch, record dispatch.RecoveryRecord, count int) ([][]byte, error) {
	pages := make([][]byte, count)
	for i := range pages {
		part := record
		part.Workers = record.Workers[len(record.Workers)*i/count : len(record.Workers)*(i+1)/count]
		value, err := compress(encode(recordPage{epoch, count, part}))
		if err != nil {
			return nil, err
		}
		pages[i] = value
	}
	return pages, nil
}

// decodeRecord returns the recovery record of the owner before that of the epoch. The result is false if
// there is none, or if it isn't complete.
func (p partition) decodeRecord(rows map[table.Key]table.Row, epoch dispatch.Epoch) (dispatch.RecoveryRecord, bool, error) {
	var record dispatch.RecoveryRecord
	for i, count := 0, 1; i < count; i++ {
		row, stored := rows[p.recordKey(i)]
		if !stored {
			return dispatch.RecoveryRecord{}, false, nil
		}
		page, err := decodeRecordPage(row)
		if err != nil {
			return dispatch.RecoveryRecord{}, false, err
		}
		if !page.Epoch.Precedes(epoch) || i > 0 && page.Pages != count {
			return dispatch.RecoveryRecord{}, false, nil
		}
		workers := append(record.Workers, page.Workers...)
		record, count = page.RecoveryRecord, page.Pages
		record.Workers = workers
	}
	return record, true, nil
}

func decodeRecordPage(row table.Row) (recordPage, error) {
	value, err := decompress(row.Value, maxDecodedRecordPage)
	if err != nil {
		return recordPage{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return decode[recordPage](table.Row{Key: row.Key, Value: value, Version: row.Version})
}

// readRecord reads the recovery record of the earlier owner, and reports whether there is one. Without
// one, recovered tasks wait for all workers.
func (o *owner) readRecord(ctx context.Context) (dispatch.RecoveryRecord, bool, error) {
	rows, _, err := o.node.store.Snapshot(ctx, o.shard.partition.recordPrefix())
	if err != nil {
		return dispatch.RecoveryRecord{}, false, err
	}
	o.lock.Lock()
	o.recordRows = len(rows)
	o.lock.Unlock()
	record, found, err := o.shard.partition.decodeRecord(rowsByKey(rows), o.epoch)
	if err != nil {
		o.node.Log.Error().Err(err).Msg("ignored a recovery record that can't be decoded")
		return dispatch.RecoveryRecord{}, false, nil
	}
	return record, found, nil
}

// addRelease adds what the next owner needs to the update that releases the shard. The lock must be held.
func (o *owner) addRelease(u *update, now time.Time) {
	stopping := stoppingRow{Epoch: o.epoch, Runs: fittingPrefix(o.engine.StoppingRuns(now, maxStoppingRuns))}
	u.writes = append(u.writes, table.Write{Key: o.shard.partition.stoppingKey(), Value: encode(stopping)})
	u.limit = min(u.limit, maxReleaseParts)
	record, complete := o.engine.Release(now)
	if !complete || o.recordRejected {
		o.node.Counters.Add("Recovery.NotRecorded", 1)
		return
	}
	pages, err := recordPages(o.epoch, record)
	if err != nil {
		o.node.Counters.Add("Recovery.NotRecorded", 1)
		o.node.Log.Error().Err(err).Int("Shard", int(o.shard.id)).Msg("no recovery record is stored")
		return
	}
	for i := range max(len(pages), o.recordRows) {
		write := table.Write{Key: o.shard.partition.recordKey(i), Delete: i >= len(pages)}
		if i < len(pages) {
			write.Value = pages[i]
		}
		u.writes = append(u.writes, write)
	}
}
