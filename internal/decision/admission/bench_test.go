package admission_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// BenchmarkArrive measures one decision among 65 executors, the larger of the present
// services, and among as many as a zone may have in two years.
func BenchmarkArrive(b *testing.B) {
	for _, executors := range []int{65, 1000, 3800} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			s := &admission.Service{}
			var candidates []admission.Candidate
			for i := range executors {
				id := membership.InstanceID(strconv.Itoa(i))
				candidates = append(candidates, admission.Candidate{Executor: id, Slots: 8, InUse: i % 8})
				for range 10 {
					s.Observe(start, id, admission.Observation{Took: 20 * time.Millisecond})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Arrive(start, request("1", time.Second), candidates)
			}
		})
	}
}
