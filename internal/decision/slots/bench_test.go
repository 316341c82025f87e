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

// benchLedger is a ledger whose members hold all their base grants. It returns the
// base grants of the first member.
func benchLedger(executors int) (*Ledger, []membership.InstanceID, []Renewal) {
	l := newTestLedger(executors)
	var members []membership.InstanceID
	for i := range benchMembers {
		members = append(members, membership.InstanceID(fmt.Sprint("entry-", i)))
	}
	var renewals []Renewal
	for _, id := range members {
		for range 1 + executors/l.terms.MaxGrants {
			for _, g := range l.AcquireBase(start, id, members) {
				if id == members[0] {
					renewals = append(renewals, Renewal{Keep: Keep{ID: g.ID, Amount: g.Amount}})
				}
			}
		}
	}
	return l, members, renewals
}

// BenchmarkDemand measures a request for 4 slots that then go back.
func BenchmarkDemand(b *testing.B) {
	for _, executors := range benchExecutors {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			l, members, _ := benchLedger(executors)
			for i := 0; b.Loop(); i++ {
				holder := members[i%len(members)]
				for _, g := range l.Acquire(start, request(holder, 4, 4)) {
					l.Return(holder, Keep{ID: g.ID})
				}
			}
		})
	}
}

// BenchmarkRenewal measures what a holder's exchange without a want costs the owner
// each second: the renewal of its base grants and a look for missing ones.
func BenchmarkRenewal(b *testing.B) {
	for _, executors := range benchExecutors {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			l, members, renewals := benchLedger(executors)
			for b.Loop() {
				l.Renew(start, members[0], renewals)
				l.AcquireBase(start, members[0], members)
			}
			b.ReportMetric(float64(len(renewals)), "renewals")
		})
	}
}

// BenchmarkRecalls measures the owner's look for grants to take back, twice a second.
func BenchmarkRecalls(b *testing.B) {
	for _, executors := range benchExecutors {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			l, members, _ := benchLedger(executors)
			for b.Loop() {
				l.Recalls(start.Add(time.Second), members)
			}
		})
	}
}
