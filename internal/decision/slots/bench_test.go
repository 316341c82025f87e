package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var benchExecutors = []int{65, 1000}

// benchMembers is the number of entry instances that hold base grants.
const benchMembers = 8

// benchAllocator returns an allocator in which all members hold their whole share of base
// grants, the members, and the renewals of the first member's base grants.
func benchAllocator(executors int) (*Allocator, []membership.InstanceID, []Renewal) {
	a := newTestAllocator(executors)
	var members []membership.InstanceID
	for i := range benchMembers {
		members = append(members, membership.InstanceID(fmt.Sprint("entry-", i)))
	}
	var renewals []Renewal
	for _, id := range members {
		for range 1 + executors/a.config.MaxGrantsPerCall {
			for _, g := range a.AcquireBase(start, id, members) {
				if id == members[0] {
					renewals = append(renewals, Renewal{KeptAmount: KeptAmount{ID: g.ID, Amount: g.Amount}})
				}
			}
		}
	}
	return a, members, renewals
}

// BenchmarkDemand measures a request for 4 slots and their return.
func BenchmarkDemand(b *testing.B) {
	for _, executors := range benchExecutors {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			a, members, _ := benchAllocator(executors)
			for i := 0; b.Loop(); i++ {
				holder := members[i%len(members)]
				for _, g := range a.Acquire(start, request(holder, 4, 4)) {
					a.Return(holder, KeptAmount{ID: g.ID})
				}
			}
		})
	}
}

// BenchmarkRenewal measures the owner's cost of a holder's exchange each second without
// new demand: renewing its base grants and searching for missing ones.
func BenchmarkRenewal(b *testing.B) {
	for _, executors := range benchExecutors {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			a, members, renewals := benchAllocator(executors)
			for b.Loop() {
				a.Renew(start, members[0], renewals)
				a.AcquireBase(start, members[0], members)
			}
			b.ReportMetric(float64(len(renewals)), "renewals")
		})
	}
}

// BenchmarkRecalls measures the owner's search for grants to recall, which runs twice a
// second.
func BenchmarkRecalls(b *testing.B) {
	for _, executors := range benchExecutors {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			a, members, _ := benchAllocator(executors)
			for b.Loop() {
				a.GrantsToRecall(start.Add(time.Second), members)
			}
		})
	}
}

// BenchmarkHolder reports how many renewals a holder with a base grant on each executor
// sends per minute, with one exchange a second.
func BenchmarkHolder(b *testing.B) {
	for _, executors := range benchExecutors {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			sent := 0
			for b.Loop() {
				sent = benchMinute(executors)
			}
			b.ReportMetric(float64(sent), "renewals/minute")
		})
	}
}

// benchMinute simulates a minute of exchanges and returns the number of renewals sent.
func benchMinute(executors int) (sent int) {
	a, h := newTestAllocator(executors), NewHolder("entry-0")
	members := []membership.InstanceID{"entry-0", "entry-1"}
	for range 1 + executors/a.config.MaxGrantsPerCall {
		_ = h.AddGrants(start, 1, a.AcquireBase(start, "entry-0", members))
	}
	for second := 1; second <= 61; second++ {
		now := start.Add(time.Duration(second) * time.Second)
		renewals := h.Renewals(now)
		sent += len(renewals)
		_ = h.ExtendGrants(now, 1, a.Renew(now, "entry-0", renewals))
	}
	return sent
}
