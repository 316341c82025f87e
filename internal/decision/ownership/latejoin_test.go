package ownership

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

var _ = Describe("A claim by a member that joined after the previous owner's claim", func() {
	config := DefaultConfig()
	start := time.Unix(0, 0)

	// claim lets member b claim the shard of a, which was last active at the start, and
	// returns the shard view and the time of the claim.
	claim := func(row ShardRow) (*ShardView, time.Time) {
		GinkgoHelper()
		view := NewZoneView("b", config).Shard(worker.ShardID{Zone: "zone-a"})
		read := TableRead{
			Shard: row, ShardVersion: 1, MembersVersion: 1,
			Members: MemberSet{Revision: 2, Members: []Member{{ID: "a", Joined: 1}, {ID: "b", Joined: 2}}},
		}
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
			for _, action := range view.Tick(now) {
				switch action.Kind {
				case Read:
					read.Began = now
					view.TableRead(now, read)
				case Claim:
					read.Began, read.Shard, read.ShardVersion = now, action.Row, 2
					view.WriteResult(now, action, Written, 2)
					return view, now
				}
			}
		}
		Fail("member b did not claim the shard within a minute")
		return nil, start
	}

	expectReadyAfter := func(row ShardRow, wait time.Duration) {
		GinkgoHelper()
		view, claimed := claim(row)
		Expect(view.EarlierOwnersUntil().Sub(claimed)).To(BeNumerically("~", wait, wait/20))
	}

	row := ShardRow{Owner: "a", Epoch: 1, Settled: true, Claimed: 1, Base: 1}

	// Guards against ten minutes without slot grants when the only member of a zone
	// fails and is replaced.
	It("waits only for AuthorityTerm if the previous owner could not rely on promises", func() {
		expectReadyAfter(row, config.AuthorityTerm)
	})

	// Guards against two owners: a may keep authority by promises of members that b
	// can't reach.
	It("waits for MaxIsolation if the previous owner could rely on promises", func() {
		promising := row
		promising.Promising = true
		expectReadyAfter(promising, config.MaxIsolation)
	})
})
