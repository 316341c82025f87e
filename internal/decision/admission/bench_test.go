package admission_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// BenchmarkAdmit measures one admission decision with 65 executors, the size of the larger
// service in production, and with as many as a zone may have in two years.
func BenchmarkAdmit(b *testing.B) {
	for _, executors := range []int{65, 1000, 3800} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			c := &admission.Controller{}
			var candidates []admission.Candidate
			for i := range executors {
				id := membership.InstanceID(strconv.Itoa(i))
				candidates = append(candidates, admission.Candidate{Executor: id, Slots: 8, InUse: i % 8})
				for range 10 {
					c.Observe(start, id, admission.Observation{Duration: 20 * time.Millisecond})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Admit(start, request("1", time.Second), candidates)
			}
		})
	}
}
