package grant

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/process"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// BenchmarkAcquire measures encoding and decoding one Slots.Acquire request and its
// answer as JSON, for different numbers of renewed grants.
func BenchmarkAcquire(b *testing.B) {
	for _, grants := range []int{0, 16, 65, 1000} {
		b.Run(fmt.Sprintf("renewals=%d", grants), func(b *testing.B) {
			request, answer := newBenchMessages(grants)
			size, start := 0, process.CPUTime()
			for b.Loop() {
				size = encodeAndDecode(b, request) + encodeAndDecode(b, answer)
			}
			b.ReportMetric(float64(process.CPUTime()-start)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(size), "B/exchange")
		})
	}
}

func newBenchMessages(grants int) (AcquireRequest, AcquireAnswer) {
	request := AcquireRequest{Holder: "entry-kzn-dbn-003", Base: true}
	request.Shard.Zone = "kzn-dbn"
	answer := AcquireAnswer{Epoch: 17}
	for i := range grants {
		id := slots.GrantID{Epoch: 17, Number: uint64(100_000 + i)}
		request.Renewals = append(request.Renewals, slots.Renewal{KeptAmount: slots.KeptAmount{ID: id, Amount: slots.Amount{Slots: 1, Connections: 8}}})
		answer.Renewed = append(answer.Renewed, id)
	}
	for i := range min(grants, 2) {
		answer.Grants = append(answer.Grants, slots.Grant{
			ID: slots.GrantID{Epoch: 17, Number: uint64(200_000 + i)}, Executor: membership.InstanceID("executor-kzn-dbn-17"),
			Holder: request.Holder, Kind: slots.Demand, Amount: slots.Amount{Slots: 4, Connections: 4},
			Term: 5 * time.Second, MaxDuration: 5 * time.Second,
		})
	}
	return request, answer
}

func encodeAndDecode[T any](b *testing.B, message T) int {
	content, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(content, &decoded); err != nil {
		b.Fatal(err)
	}
	return len(content)
}
