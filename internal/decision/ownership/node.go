package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Node is an entry instance's view of one shard.
type Node struct {
	group *Group
	terms Terms
	shard worker.ShardID
	state chart.OwnershipState

	// The shard row as last read or written.
	row     ShardRow
	version table.Version
	hasRead bool
	// seen is the highest epoch that any message or row named.
	seen worker.Epoch

	// epoch is the one that this instance claimed; 0 when it has none.
	epoch worker.Epoch
	// claimKnown is when the claim was learned to have taken effect.
	claimKnown time.Time
	// claimSet is the member set of the last claim, and claimSent when it was sent.
	claimSet  MemberSet
	claimSent time.Time
	// witnessed is when a member since Base answered under our epoch.
	witnessed time.Time
	// named reports that the previous owner needs this instance's promise.
	named bool
	// needed is the last beat that named this instance as one whose promise its
	// sender needs.
	needed neededBy

	// confirmed is the set of the last table read that showed our epoch.
	confirmed      MemberSet
	confirmedBegan time.Time
	// extra are members that later sets named, up to extraRevision.
	extra         map[membership.InstanceID]bool
	extraRevision Revision
	// promises holds, for each member, when the heartbeat was sent that it last
	// answered with a promise.
	promises map[membership.InstanceID]time.Time

	// lastPromise is when this instance last promised not to claim.
	lastPromise time.Time
	// ownerHeard is when the owner was last known to be active.
	ownerHeard time.Time
	// releasedAt is when this instance released the shard at epoch released.
	releasedAt time.Time
	released   worker.Epoch

	leaving        bool
	preferredSince time.Time
	reading        bool
	wantRead       bool
	lastRead       time.Time
	// goodRead is when the last read that succeeded began.
	goodRead time.Time
	writing  ActionKind
	retry    time.Time
	notices  []Action
}

// neededBy is what a beat showed that requires this instance's promise.
type neededBy struct {
	owner    membership.InstanceID
	epoch    worker.Epoch
	revision Revision
}

func newNode(g *Group, shard worker.ShardID) *Node {
	return &Node{
		group:    g,
		terms:    g.terms,
		shard:    shard,
		state:    chart.Ownership().Initial(),
		wantRead: true,
	}
}

// State returns the state of the chart "ownership".
func (n *Node) State() chart.OwnershipState {
	return n.state
}

// Epoch returns the epoch under which this instance holds the shard, or 0.
func (n *Node) Epoch() worker.Epoch {
	return n.epoch
}

// Owner returns the owner and epoch of the shard row as last seen.
func (n *Node) Owner() (membership.InstanceID, worker.Epoch) {
	return n.row.Owner, n.row.Epoch
}

// Release makes the node give its shard up and claim no more.
func (n *Node) Release() {
	n.leaving = true
}

// Recovered reports that the recovery that StartRecovery asked for is complete.
func (n *Node) Recovered() {
	if n.state == chart.OwnershipRecovering {
		n.move(chart.OwnershipOnRecover)
	}
}

// move changes the state. Callers check the state before, so a refusal is a fault of
// this package.
func (n *Node) move(event chart.OwnershipEvent) {
	next, err := chart.Ownership().Next(n.state, event)
	if err != nil {
		panic(err)
	}
	n.state = next
}

// ReadFailed takes in that a table read failed.
func (n *Node) ReadFailed() {
	n.reading = false
}

// TableRead takes in a table read.
func (n *Node) TableRead(now time.Time, read TableRead) {
	n.reading = false
	n.goodRead = read.Began
	n.group.tableRead(now, read.Members, read.MembersVersion)
	if read.ShardVersion < n.version {
		return
	}
	n.takeRow(now, read.Shard, read.ShardVersion)
	if n.epoch != 0 && n.row.Owner == n.group.self && n.row.Epoch == n.epoch {
		n.confirm(read.Began, read.Members)
	}
}

// takeRow takes in a shard row that is not older than the one known.
func (n *Node) takeRow(now time.Time, row ShardRow, version table.Version) {
	if version != n.version || !n.hasRead {
		n.ownerHeard = now
	}
	n.hasRead = true
	n.row, n.version = row, version
	n.learn(row.Epoch)
	if row.Owner != n.group.self || row.Epoch == 0 {
		return
	}
	switch {
	case row.Released:
		n.finishRelease(now, row.Epoch)
	case n.epoch != row.Epoch && row.Epoch >= n.seen:
		n.won(now)
	}
}

// learn takes in that an epoch exists. A higher one ends our ownership.
func (n *Node) learn(epoch worker.Epoch) {
	n.seen = max(n.seen, epoch)
	if n.epoch == 0 || n.seen <= n.epoch {
		return
	}
	n.drop(chart.OwnershipOnSupersede)
}

// drop ends our ownership.
func (n *Node) drop(event chart.OwnershipEvent) {
	n.move(event)
	n.epoch = 0
	n.promises = nil
	n.notices = append(n.notices, Action{Kind: Stop})
}

func (n *Node) finishRelease(now time.Time, epoch worker.Epoch) {
	if n.state == chart.OwnershipReleasing && n.epoch == epoch {
		n.drop(chart.OwnershipOnReleased)
		n.releasedAt, n.released = now, epoch
	}
}

// won takes in that our claim took effect, at the latest now.
func (n *Node) won(now time.Time) {
	if n.state == chart.OwnershipUnowned {
		n.move(chart.OwnershipOnClaim)
	}
	n.move(chart.OwnershipOnClaimWon)
	n.epoch = n.row.Epoch
	n.claimKnown = now
	n.witnessed, n.named = time.Time{}, false
	n.confirmed, n.confirmedBegan = MemberSet{}, time.Time{}
	n.extra, n.extraRevision = nil, 0
	n.promises = map[membership.InstanceID]time.Time{}
	n.preferredSince = time.Time{}
	n.checkNamed()
}

// confirm takes in that our epoch was current after began, with a member set.
func (n *Node) confirm(began time.Time, set MemberSet) {
	if !began.After(n.confirmedBegan) {
		return
	}
	n.confirmed, n.confirmedBegan = set, began
	if set.Revision >= n.extraRevision {
		n.extra, n.extraRevision = nil, 0
	}
}

// WriteResult takes in the outcome of the last Claim, Settle or Release, and the new
// version of the shard row if it was written.
func (n *Node) WriteResult(now time.Time, action Action, outcome Outcome, version table.Version) {
	n.writing = ""
	n.retry = now.Add(n.terms.Retry)
	if outcome == Written && version >= n.version {
		n.takeRow(now, action.Row, version)
		if action.Kind == Claim && n.epoch == action.Row.Epoch {
			n.confirm(n.claimSent, n.claimSet)
		}
	} else {
		n.wantRead = true
	}
	// A claim with an unknown outcome is noticed by a table read that shows our row.
	if action.Kind == Claim && n.state == chart.OwnershipClaiming {
		n.move(chart.OwnershipOnClaimLost)
	}
}

// received takes in a beat and returns the answer to it.
func (n *Node) received(now time.Time, from membership.InstanceID, revision Revision, b Beat) BeatAnswer {
	current := b.Epoch >= n.seen
	if b.Epoch > n.row.Epoch || (b.Released && current && !n.row.Released) {
		n.wantRead = true
	}
	n.learn(b.Epoch)
	if current && b.Active {
		n.ownerHeard = now
	}
	n.notePrevious(from, revision, b)
	promised := b.WantPromise && current && n.epoch == 0 && n.writing != Claim &&
		revision >= n.group.known.Revision
	if promised {
		n.lastPromise = now
	}
	return BeatAnswer{Shard: n.shard, For: b.Epoch, Epoch: n.seen, Promised: promised}
}

// notePrevious notes a beat that shows that its sender needs our promise.
func (n *Node) notePrevious(from membership.InstanceID, revision Revision, b Beat) {
	if !b.requires(n.group.self) {
		return
	}
	n.needed = neededBy{owner: from, epoch: b.Epoch, revision: revision}
	n.checkNamed()
}

// checkNamed notes whether the previous owner is known to need our promise. A beat
// from before our claim tells it as well, because an owner never drops a member from
// those that it needs while that member stays in the set.
func (n *Node) checkNamed() {
	if n.epoch == 0 || n.needed.owner != n.row.Previous || n.needed.epoch != n.row.PreviousEpoch {
		return
	}
	if joined, member := n.claimSet.Joined(n.group.self); member && n.needed.revision >= joined {
		n.named = true
	}
}

// answered takes in the answer to a beat that was sent at a time.
func (n *Node) answered(now, sent time.Time, from membership.InstanceID, a BeatAnswer) {
	n.learn(a.Epoch)
	if n.epoch == 0 || a.For != n.epoch {
		return
	}
	if a.Promised && sent.After(n.promises[from]) {
		n.promises[from] = sent
	}
	joined, member := n.claimSet.Joined(from)
	if member && joined <= n.row.Base && n.witnessed.IsZero() {
		n.witnessed = now
	}
}
