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

func benchID(i int) membership.InstanceID {
	return membership.InstanceID(fmt.Sprintf("entry-kzn-dbn-%03d", i))
}

// benchMessages returns a heartbeat and its answer in a zone with so many other
// members. The sender owns one shard and reports it.
func benchMessages(peers int) (Heartbeat, Answer) {
	set := ownership.MemberSet{Revision: 1234}
	beat := ownership.Beat{Shard: worker.ShardID{Zone: "kzn-dbn", Index: 2}, Epoch: 17, Active: true, WantPromise: true}
	for i := range peers + 1 {
		set.Members = append(set.Members, ownership.Member{ID: benchID(i), Joined: 1200})
		if i > 0 {
			beat.Requires = append(beat.Requires, benchID(i))
		}
	}
	h := Heartbeat{
		From: membership.Instance{
			ID: benchID(0), Kind: membership.Entry, State: membership.Live, Zone: "kzn-dbn", Region: "kzn",
			Address: "10.20.30.40:7401", OperatorAddress: "10.20.30.40:7402",
		},
		Manifest: 8123,
		Shards: []ShardReport{{
			Shard: beat.Shard, Epoch: 17, Free: resource.Vector{Processors: 1_600_000, Memory: 6e12}, QueuedTasks: 4000, Running: 3300,
		}},
		Ownership: ownership.Heartbeat{From: benchID(0), Set: set, Shards: []ownership.Beat{beat}},
	}
	return h, Answer{
		From: benchID(1), Manifest: 8123,
		Ownership: ownership.HeartbeatAnswer{
			From: benchID(1), Set: set,
			Shards: []ownership.BeatAnswer{{Shard: beat.Shard, For: 17, Epoch: 17, Promised: true}},
		},
	}
}

// BenchmarkForms measures the same exchange in a zone of 8 members in its three forms:
// with the member set in both directions, with a receiver that already has the set, and
// with a receiver in another zone.
func BenchmarkForms(b *testing.B) {
	h, a := benchMessages(7)
	benchExchange(b, "form=whole", 7, h, a)
	a.Ownership.Set.Members = nil
	benchExchange(b, "form=known-set", 7, h, a)
	h.Ownership, a.Ownership = ownership.Heartbeat{}, ownership.HeartbeatAnswer{}
	benchExchange(b, "form=other-zone", 7, h, a)
}

// BenchmarkExchange measures the JSON of one heartbeat and its answer, encoded and
// decoded once each, once the receiver has the member set. An instance does this with each peer once a second, and once
// more as the receiver.
func BenchmarkExchange(b *testing.B) {
	for _, peers := range []int{1, 3, 15, 64} {
		h, a := benchMessages(peers)
		a.Ownership.Set.Members = nil
		benchExchange(b, fmt.Sprintf("peers=%d", peers), peers, h, a)
	}
}

func benchExchange(b *testing.B, name string, peers int, h Heartbeat, a Answer) {
	b.Run(name, func(b *testing.B) {
		var size [2]int
		began := process.Processor()
		for b.Loop() {
			size[0] = benchTurn(b, h)
			size[1] = benchTurn(b, a)
		}
		b.ReportMetric(float64(process.Processor()-began)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(float64(size[0]), "B/heartbeat")
		b.ReportMetric(float64(size[1]), "B/answer")
		b.ReportMetric(float64(2*peers*(size[0]+size[1])), "B/s/instance")
	})
}

func benchTurn[T any](b *testing.B, message T) int {
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
