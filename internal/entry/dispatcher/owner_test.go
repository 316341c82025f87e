package dispatcher

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
)

// Guards against decisions whose fields don't reach the log, from which operators explain them.
var _ = Describe("The log line of a decision", func() {
	expectFields := func(d dispatch.Decision, want map[string]any) {
		GinkgoHelper()
		var log bytes.Buffer
		n := New(Options{Name: "a", Clock: clockwork.NewFakeClock(), Log: zerolog.New(&log), Counters: &counter.Set{}})
		o := newOwner(newShard(n, 1, 1), ownerRow{Node: "a", Epoch: 3}, 7, func() {})
		o.RecordDecision(time.Time{}, d)
		var got map[string]any
		Expect(json.Unmarshal(log.Bytes(), &got)).To(Succeed())
		want["level"], want["Event"], want["Shard"], want["Epoch"] = "info", d.Event, 1.0, 3.0
		Expect(got).To(Equal(want))
	}

	It("has what a task that is down for long needs", func() {
		expectFields(dispatch.Decision{Event: "TaskDownForLong", Took: 4 * time.Second, LongDowntime: &dispatch.LongDowntime{
			Awaits: dispatch.AwaitsRoom, Resources: resource.Vector{Processors: 2000, Memory: 512}, UnavailableWithRoom: 3, WaitingTasks: 4,
		}}, map[string]any{
			"Took": 4000.0, "Awaits": "Room", "Processors": 2000.0, "Memory": 512.0, "UnavailableWithRoom": 3.0, "WaitingTasks": 4.0,
		})
	})

	It("has the room of the shard", func() {
		vector := func(processors, memory float64) map[string]any {
			return map[string]any{"Processors": processors, "Memory": memory, "Accelerators": 0.0}
		}
		expectFields(dispatch.Decision{Event: "ShardRoom", ShardRoom: &dispatch.ShardRoom{
			Workers: 2, Unavailable: 1,
			Capacity: resource.Vector{Processors: 6000, Memory: 512}, Reserved: resource.Vector{Processors: 2000, Memory: 128},
			Free:      []resource.Vector{{Processors: 4000, Memory: 384}},
			TasksDown: 3, LongestDowntime: 4 * time.Second,
		}}, map[string]any{
			"Workers": 2.0, "Unavailable": 1.0, "Capacity": vector(6000, 512), "Reserved": vector(2000, 128),
			"Free": []any{vector(4000, 384)}, "UnavailableFree": nil, "TasksDown": 3.0, "LongestDowntime": 4000.0,
		})
	})
})
