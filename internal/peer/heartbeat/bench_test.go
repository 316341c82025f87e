package heartbeat

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/ownership"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/process"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

func instanceID(i int) membership.InstanceID {
	return membership.InstanceID(fmt.Sprintf("entry-kzn-dbn-%03d", i))
}

// newBenchMessages returns a heartbeat and its answer in an availability zone with the
// given number of other members. The sender owns one shard and reports it.
func newBenchMessages(peers int) (Heartbeat, Answer) {
	set := ownership.MemberSet{Revision: 1234}
	shardHeartbeat := ownership.ShardHeartbeat{Shard: worker.ShardID{Zone: "kzn-dbn", Index: 2}, Epoch: 17, Active: true, WantPromise: true}
	for i := range peers + 1 {
		set.Members = append(set.Members, ownership.Member{ID: instanceID(i), Joined: 1200})
		if i > 0 {
			shardHeartbeat.Requires = append(shardHeartbeat.Requires, instanceID(i))
		}
	}
	h := Heartbeat{
		From: membership.Instance{
			ID: instanceID(0), Kind: membership.Entry, State: membership.Live, Zone: "kzn-dbn", Region: "kzn",
			Address: "10.20.30.40:7401", OperatorAddress: "10.20.30.40:7402",
		},
		Manifest: 8123,
		Shards: []ShardReport{{
			Shard: shardHeartbeat.Shard, Epoch: 17, Free: resource.Vector{Processors: 1_600_000, Memory: 6e12}, QueuedTasks: 4000, Running: 3300,
		}},
		Ownership: ownership.Heartbeat{From: instanceID(0), Set: set, Shards: []ownership.ShardHeartbeat{shardHeartbeat}},
	}
	return h, Answer{
		From: instanceID(1), Manifest: 8123,
		Ownership: ownership.HeartbeatAnswer{
			From: instanceID(1), Set: set,
			Shards: []ownership.ShardHeartbeatAnswer{{Shard: shardHeartbeat.Shard, For: 17, Epoch: 17, Promised: true}},
		},
	}
}

// BenchmarkForms measures the exchange in an availability zone of 8 members in three
// forms: with the member set in both directions, with a receiver that already has the
// set, and with a receiver in another zone.
func BenchmarkForms(b *testing.B) {
	h, a := newBenchMessages(7)
	benchExchange(b, "form=whole", 7, h, a)
	a.Ownership.Set.Members = nil
	benchExchange(b, "form=known-set", 7, h, a)
	h.Ownership, a.Ownership = ownership.Heartbeat{}, ownership.HeartbeatAnswer{}
	benchExchange(b, "form=other-zone", 7, h, a)
}

// BenchmarkExchange measures encoding and decoding one heartbeat and its answer as
// JSON, when the receiver already has the member set. An instance does this once a
// second for each peer as the sender, and once more as the receiver.
func BenchmarkExchange(b *testing.B) {
	for _, peers := range []int{1, 3, 15, 64} {
		h, a := newBenchMessages(peers)
		a.Ownership.Set.Members = nil
		benchExchange(b, fmt.Sprintf("peers=%d", peers), peers, h, a)
	}
}

func benchExchange(b *testing.B, name string, peers int, h Heartbeat, a Answer) {
	b.Run(name, func(b *testing.B) {
		var size [2]int
		start := process.CPUTime()
		for b.Loop() {
			size[0] = encodeAndDecode(b, h)
			size[1] = encodeAndDecode(b, a)
		}
		b.ReportMetric(float64(process.CPUTime()-start)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(float64(size[0]), "B/heartbeat")
		b.ReportMetric(float64(size[1]), "B/answer")
		b.ReportMetric(float64(2*peers*(size[0]+size[1])), "B/s/instance")
	})
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
