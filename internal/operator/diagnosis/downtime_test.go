package diagnosis_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

// Guards against a long downtime whose log can't tell where the room for the task was.
var _ = Describe("FindDowntimes", func() {
	const task = "j/0/0/1"
	event := func(ms int, name string, shard int, task string, number int, reason string) string {
		return line(ms, fmt.Sprintf(`"Event":%q,"Shard":%d,"Task":%q,"Run":%d,"Worker":"w1","Reason":%q`, name, shard, task, number, reason))
	}
	start := func(ms, number int) string { return event(ms, "TaskStart", 0, task, number, "Accepted") }
	lost := func(ms, number int) string { return event(ms, "TaskLost", 0, task, number, "lease ended") }
	downForLong := func(ms, took int, awaits string) string {
		return line(ms, fmt.Sprintf(`"Event":"TaskDownForLong","Shard":0,"Task":%q,"Run":1,"Reason":"lease ended; waits","Took":%d,`+
			`"Awaits":%q,"Processors":2000,"Memory":64,"UnavailableWithRoom":0,"WaitingTasks":1`, task, took, awaits))
	}
	jobEnded := func(ms int, name string) string { return line(ms, fmt.Sprintf(`"Event":%q,"Job":"j"`, name)) }
	// rooms returns a shard's records of its room every second. Free processors are in units of one.
	rooms := func(shard, fromMs, toMs int, free, unavailable []int) (list []string) {
		vectors := func(processors []int) string {
			texts := make([]string, len(processors))
			for i, p := range processors {
				texts[i] = fmt.Sprintf(`{"Processors":%d000,"Memory":1000,"Accelerators":0}`, p)
			}
			return "[" + strings.Join(texts, ",") + "]"
		}
		for ms := fromMs; ms < toMs; ms += 1000 {
			list = append(list, line(ms, fmt.Sprintf(`"Event":"ShardRoom","Shard":%d,"Free":%s,"UnavailableFree":%s`, shard, vectors(free), vectors(unavailable))))
		}
		return list
	}
	find := func(groups ...[]string) diagnosis.DowntimeSummary {
		GinkgoHelper()
		var all []string
		for _, g := range groups {
			all = append(all, g...)
		}
		lines, skipped, err := diagnosis.Read(strings.NewReader(strings.Join(all, "\n")))
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(BeZero())
		return diagnosis.FindDowntimes(lines, 6*time.Second)
	}
	expectOnly := func(s diagnosis.DowntimeSummary, lasted time.Duration, end diagnosis.DowntimeEnd) diagnosis.Downtime {
		GinkgoHelper()
		Expect(s.Downtimes).To(HaveLen(1))
		Expect(s.Downtimes[0].Task).To(Equal(task))
		Expect(s.Downtimes[0].Lasted).To(Equal(lasted))
		Expect(s.Downtimes[0].End).To(Equal(end))
		return s.Downtimes[0]
	}
	// expectRoom expects the longest times in a row with room, in seconds.
	expectRoom := func(d diagnosis.Downtime, own, other, unavailable, anywhere float64) {
		GinkgoHelper()
		for place, want := range map[diagnosis.RoomPlace]float64{
			diagnosis.OwnShard: own, diagnosis.OtherShards: other, diagnosis.UnavailableWorkers: unavailable, diagnosis.Anywhere: anywhere,
		} {
			Expect(d.Room[place].Seconds()).To(BeNumerically("~", want, 0.001), string(place))
		}
	}
	// down are the lines of a task that is down from 1 s to 13 s.
	down := []string{start(0, 1), lost(1000, 1), downForLong(5000, 4000, "ShortTasks"), downForLong(7000, 6000, "Room"), start(13000, 2)}

	It("reports why a task went down, what it waited for and what it needs", func() {
		s := find(down)
		d := expectOnly(s, 12*time.Second, diagnosis.DownUntilStart)
		Expect(d.Reason).To(Equal("lease ended"))
		Expect(d.Waits).To(Equal(map[string]int{"ShortTasks": 1, "Room": 1}))
		Expect(d.Resources).To(Equal(resource.Vector{Processors: 2000, Memory: 64}))
		Expect(s.Waits).To(Equal(map[string]int{"ShortTasks": 1, "Room": 1}))
		Expect(s.NoRoom).To(Equal(1))
	})

	It("finds room for the task twice over on one worker of its shard or on two", func() {
		expectRoom(expectOnly(find(down, rooms(0, 0, 20000, []int{4}, nil)), 12*time.Second, diagnosis.DownUntilStart), 6, 0, 0, 6)
		expectRoom(expectOnly(find(down, rooms(0, 0, 20000, []int{2, 2}, nil)), 12*time.Second, diagnosis.DownUntilStart), 6, 0, 0, 6)
		expectRoom(expectOnly(find(down, rooms(0, 0, 20000, []int{3, 1}, nil)), 12*time.Second, diagnosis.DownUntilStart), 0, 0, 0, 0)
	})

	It("tells room in other shards and on unavailable workers from that in the own shard", func() {
		// The last record of the other shard is from 8.5 s, and holds for 2 s.
		s := find(down, rooms(0, 0, 20000, []int{1}, []int{4}), rooms(1, 500, 9500, []int{5}, nil))
		expectRoom(expectOnly(s, 12*time.Second, diagnosis.DownUntilStart), 0, 3.5, 6, 6)
		Expect(s.Room).To(Equal(map[diagnosis.RoomPlace]int{diagnosis.OtherShards: 1, diagnosis.UnavailableWorkers: 1, diagnosis.Anywhere: 1}))
	})

	It("adds up room of one worker in each of two places", func() {
		s := find(down, rooms(0, 0, 20000, []int{2}, nil), rooms(1, 0, 20000, []int{2}, nil))
		expectRoom(expectOnly(s, 12*time.Second, diagnosis.DownUntilStart), 0, 0, 0, 6)
	})

	It("measures the longest time in a row, and none without records", func() {
		s := find(down, rooms(0, 7000, 9000, []int{4}, nil), rooms(0, 9000, 10000, []int{1}, nil), rooms(0, 10000, 11000, []int{4}, nil))
		expectRoom(expectOnly(s, 12*time.Second, diagnosis.DownUntilStart), 2, 0, 0, 2)
	})

	It("counts starts of other tasks in the shard after 6 s", func() {
		others := []string{
			event(3000, "TaskStart", 0, "b/0/0/0", 1, "Accepted"), event(8000, "TaskStart", 0, "b/0/0/1", 1, "Accepted"),
			event(9000, "TaskStart", 0, "j/0/0/2", 1, "Accepted"), event(9000, "TaskStart", 1, "c/0/0/0", 1, "Accepted"),
			event(9000, "TaskStart", 0, "b/0/0/2", 1, "NoRoom"),
		}
		d := expectOnly(find(down, others), 12*time.Second, diagnosis.DownUntilStart)
		Expect(d.OtherStarts).To(Equal(2))
		Expect(d.LongRunningStarts).To(Equal(1))
	})

	It("ends a downtime with the job or the log", func() {
		expectOnly(find(down[:4], []string{jobEnded(9000, "JobCancelled"), line(20000, `"Event":"RowsRead"`)}), 8*time.Second, diagnosis.DownUntilJobEnd)
		expectOnly(find(down[:4], []string{line(20000, `"Event":"RowsRead"`)}), 19*time.Second, diagnosis.DownUntilLogEnd)
	})

	It("finds the end of a run that is only known from a later owner", func() {
		expectOnly(find([]string{start(0, 1), downForLong(8000, 4000, "Room"), start(12000, 1001)}), 8*time.Second, diagnosis.DownUntilStart)
	})

	It("reports why a run was stopped if no later line tells", func() {
		stopped := []string{start(0, 1), event(900, "TaskStopping", 0, task, 1, "swapped"), event(1000, "TaskEnded", 0, task, 1, "Stopped")}
		s := find(stopped, []string{start(13000, 2), event(14000, "TaskDown", 0, task, 2, "swapped")})
		d := expectOnly(s, 12*time.Second, diagnosis.DownUntilStart)
		Expect(d.Reason).To(Equal("swapped"))
		Expect(s.ResourcesUnknown).To(Equal(1))
	})

	It("ignores short downtimes, those of batch tasks, adopted runs and runs that end with their job", func() {
		short := []string{start(0, 1), lost(1000, 1), downForLong(5000, 4000, "Room"), start(6500, 2)}
		batch := []string{event(0, "TaskStart", 0, "b/0/0/0", 1, "Accepted"), event(1000, "TaskLost", 0, "b/0/0/0", 1, "lease ended")}
		adopted := []string{event(7000, "TaskAdopted", 0, task, 2, ""), line(20000, `"Event":"TaskDown","Task":"j/0/0/2","Run":1,"Took":100`)}
		cancelled := []string{jobEnded(20000, "JobCancelled"), event(20100, "TaskEnded", 0, task, 2, "Stopped"), line(40000, `"Event":"RowsRead"`)}
		Expect(find(short, batch, adopted, cancelled).Downtimes).To(BeEmpty())
	})

	It("reads lines whose shard is a text", func() {
		Expect(find([]string{line(0, `"Shard":"dbn/0","message":"shard stopped"`)}).Downtimes).To(BeEmpty())
	})
})
