package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/progress"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// The bound for changes divided by readerTimeoutShare limits the time for the zone reader's answer, in
	// addition to the time for which it may wait for a change.
	readerTimeoutShare = 8
	// maxReaderWait limits the time that an instance may ask the zone reader to wait.
	maxReaderWait = 5 * time.Second
	// maxReadersAsked limits the instances that are asked in one call, since those of other
	// zones must be found out.
	maxReadersAsked = 4
)

var (
	errReaderStale  = errors.New("dispatcher: the reader hasn't read the rows for too long")
	errNoZoneReader = errors.New("dispatcher: no other instance reads for the availability zone")
)

// operatorRows reads the operator's rows for the mirror of this instance. In each availability zone
// one instance, the zone reader, reads them from the store, and the others from it, because a
// large configuration for each of them could fill the link to the store. An instance whose zone
// reader doesn't answer, or hasn't reached the store itself, reads from the store.
type operatorRows struct {
	node    *Node
	history table.History
	encoder changesEncoder

	lock sync.Mutex
	// zones has the zones of the instances that were asked.
	zones   map[membership.InstanceID]membership.Zone
	retryAt retryTimes
	// source is the instance from which the rows were last read, empty for the store.
	source membership.InstanceID
	// receivedAt is when data of the answer to a read from the store last arrived.
	receivedAt time.Time
	// copyAge is how old the zone reader's copy was at its last answer, 0 if the rows came from the
	// store. Only the mirror uses it.
	copyAge time.Duration
}

// CopyAge returns how old the rows of the last call were when it ended.
func (o *operatorRows) CopyAge() time.Duration { return o.copyAge }

func newOperatorRows(n *Node) *operatorRows {
	return &operatorRows{
		node: n, zones: map[membership.InstanceID]membership.Zone{}, retryAt: retryTimes{},
	}
}

// Snapshot reads all rows from the store.
func (o *operatorRows) Snapshot(ctx context.Context, prefix table.Key) ([]table.Row, table.Version, error) {
	o.copyAge = 0
	rows, version, err := o.node.store.Snapshot(progress.WithNotify(ctx, o.recordReceipt), prefix)
	if err == nil {
		o.history.Reset(rows, version, o.node.Clock.Now())
	}
	return rows, version, err
}

// Watch returns the changes from the zone reader or, if that fails, from the store.
func (o *operatorRows) Watch(ctx context.Context, prefix table.Key, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	o.copyAge = 0
	changes, version, err := o.watchReader(ctx, after, wait)
	if err == nil {
		return changes, version, nil
	}
	o.logSource("", err)
	// The time for the store begins now.
	progress.Made(ctx)
	changes, version, err = o.node.store.Watch(progress.WithNotify(ctx, o.recordReceipt), prefix, after, wait)
	if err == nil {
		o.history.Apply(changes, version, o.node.Clock.Now())
	}
	return changes, version, err
}

func (o *operatorRows) recordReceipt() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.receivedAt = o.node.Clock.Now()
}

// watchReader asks the zone reader for changes. It fails with errNoZoneReader if this instance has
// to read from the store.
func (o *operatorRows) watchReader(ctx context.Context, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	if _, lost := o.node.store.lostFor(); lost || o.node.Disabled.Has(mechanism.ZoneReader) {
		return nil, 0, errNoZoneReader
	}
	for range maxReadersAsked {
		reader, found := o.reader()
		if !found {
			return nil, 0, errNoZoneReader
		}
		o.node.keepCallingStore()
		answer, err := o.ask(ctx, reader, operatorRowsRequest{o.node.Zone, after, wait})
		switch {
		case err != nil:
			o.node.Counters.Add(configurationRows+".ReaderFailed", 1)
			o.avoid(reader.Name)
			return nil, 0, err
		case answer.Zone != o.node.Zone:
			o.recordZone(reader.Name, answer.Zone)
			continue
		}
		return o.apply(reader.Name, answer)
	}
	return nil, 0, errNoZoneReader
}

// reader returns the instance to ask: the zone reader, or one whose zone isn't known and that would
// be the zone reader if it is in this instance's zone.
func (o *operatorRows) reader() (peer, bool) {
	live := o.node.livePeers()
	o.lock.Lock()
	defer o.lock.Unlock()
	o.forgetGone(live)
	now := o.node.Clock.Now()
	mayRead := func(p peer) bool {
		zone, known := o.zones[p.Name]
		return (!known || zone == o.node.Zone) && o.retryAt.mayAsk(p.Name, now)
	}
	return zoneReader(o.node.Zone, o.node.self(), live, mayRead)
}

// forgetGone forgets what is known of instances that are gone. The lock must be held.
func (o *operatorRows) forgetGone(live []peer) {
	if len(o.zones)+len(o.retryAt) <= 2*len(live) {
		return
	}
	alive := make(map[membership.InstanceID]bool, len(live))
	for _, p := range live {
		alive[p.Name] = true
	}
	for name := range o.zones {
		if !alive[name] {
			delete(o.zones, name)
		}
	}
	for name := range o.retryAt {
		if !alive[name] {
			delete(o.retryAt, name)
		}
	}
}

func (o *operatorRows) recordZone(name membership.InstanceID, zone membership.Zone) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.zones[name] = zone
}

// avoid records that an instance failed to answer.
func (o *operatorRows) avoid(name membership.InstanceID) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.retryAt.avoid(name, o.node.Clock.Now())
}

// ask calls an instance. It fails with errReaderStale if the instance, of the same zone, hasn't read
// the rows for so long that a change may be missing.
func (o *operatorRows) ask(ctx context.Context, reader peer, r operatorRowsRequest) (operatorRowsAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+o.node.changeBound()/readerTimeoutShare)
	defer cancel()
	answer, err := entry.Call[operatorRowsRequest, operatorRowsAnswer](ctx, o.node.Peers, reader.Address, operatorRowsMethod, r)
	if err != nil {
		return operatorRowsAnswer{}, err
	}
	if answer.Zone == o.node.Zone && answer.Age > o.node.changeBound()/2 {
		return operatorRowsAnswer{}, errReaderStale
	}
	return answer, nil
}

// apply returns the changes of the zone reader's answer, and keeps them.
func (o *operatorRows) apply(from membership.InstanceID, a operatorRowsAnswer) ([]table.Change, table.Version, error) {
	changes, err := decodeChanges(a.Changes)
	if err != nil {
		o.node.Log.Error().Err(err).Str("From", string(from)).Msg("can't decode the operator's rows of the zone reader")
		o.avoid(from)
		return nil, 0, err
	}
	o.node.Counters.Add(configurationRows+".FromReader", 1)
	o.history.Apply(changes, a.Version, o.node.Clock.Now().Add(-a.Age))
	o.logSource(from, nil)
	o.copyAge = a.Age
	return changes, a.Version, nil
}

// logSource logs from where the rows are read, when that changes: from an instance or, for the reason
// given, from the store.
func (o *operatorRows) logSource(from membership.InstanceID, reason error) {
	o.lock.Lock()
	changed := o.source != from
	o.source = from
	o.lock.Unlock()
	if changed {
		o.node.Log.Info().Str("Event", "RowsSource").Str("Rows", configurationRows).Str("From", string(from)).
			AnErr("Reason", reason).Send()
	}
}

// handleOperatorRows answers an instance of the same zone.
func (n *Node) handleOperatorRows(ctx context.Context, r operatorRowsRequest) (operatorRowsAnswer, error) {
	if r.Zone != n.Zone {
		return operatorRowsAnswer{Zone: n.Zone}, nil
	}
	return n.operatorRows.answer(ctx, r)
}

// answer returns the changes that this instance knows, once there is one or the wait has passed.
func (o *operatorRows) answer(ctx context.Context, r operatorRowsRequest) (operatorRowsAnswer, error) {
	deadline := o.node.Clock.After(min(r.Wait, maxReaderWait))
	for {
		changed := o.history.Changed()
		changes, version, err := o.history.Since(r.After)
		if err != nil {
			return operatorRowsAnswer{}, entry.Errorf(entry.CodeUnavailable, "%v", err)
		}
		answer := operatorRowsAnswer{Zone: o.node.Zone, Version: version, Age: o.age()}
		if len(changes) > 0 {
			answer.Changes, err = o.encoder.encode(changes)
			return answer, err
		}
		select {
		case <-changed:
		case <-deadline:
			answer.Age = o.age()
			return answer, nil
		case <-ctx.Done():
			return operatorRowsAnswer{}, ctx.Err()
		}
	}
}

// age returns the time since the rows were last read. While an answer of the store is arriving, that
// is the time since its last data arrived, up to the bound for changes: others would only slow it
// down by reading from the store too.
func (o *operatorRows) age() time.Duration {
	now := o.node.Clock.Now()
	o.lock.Lock()
	receivedAt := o.receivedAt
	o.lock.Unlock()
	age := now.Sub(o.history.ReadAt())
	if age <= o.node.changeBound() {
		age = min(age, now.Sub(receivedAt))
	}
	return age
}
