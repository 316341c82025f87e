package membership

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/process"
)

// BenchmarkDecodeSnapshot measures decoding the list that an entry instance reads each
// second, in the sizes of a present deployment, of one availability zone at the two-year
// size (1,333 workers and 3,800 executors) and of all 15 zones at that size.
func BenchmarkDecodeSnapshot(b *testing.B) {
	for _, count := range []int{115, 5_133, 77_000} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			content, err := json.Marshal(benchSnapshot(count))
			if err != nil {
				b.Fatal(err)
			}
			start := process.CPUTime()
			for b.Loop() {
				var decoded Snapshot
				if err := json.Unmarshal(content, &decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(process.CPUTime()-start)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(content)), "B/list")
			heapBefore := process.HeapBytes()
			var kept Snapshot
			if err := json.Unmarshal(content, &kept); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(process.HeapBytes()-heapBefore), "B/heap")
			runtime.KeepAlive(kept)
			runtime.KeepAlive(content)
		})
	}
}

func benchSnapshot(count int) Snapshot {
	snapshot := Snapshot{Revision: 7}
	for i := range count {
		instance := Instance{
			ID: InstanceID(fmt.Sprintf("executor-kzn-dbn-%05d", i)), Kind: Executor, State: Live, Zone: "kzn-dbn", Region: "kzn",
			Rack: "rack-117", Address: fmt.Sprintf("10.20.%d.%d:9001", i/250%250, i%250),
			Capacity: resource.Vector{Processors: 4000, Memory: 8e9},
		}
		if i%2 == 0 {
			instance.Host, instance.Service = "worker-kzn-dbn-00117", "chairdesk"
			instance.Slots, instance.Connections = 8, 64
		} else {
			instance.Kind = Worker
		}
		snapshot.Instances = append(snapshot.Instances, instance)
	}
	return snapshot
}
