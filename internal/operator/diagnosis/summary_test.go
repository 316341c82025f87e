package diagnosis_test

import (
	"compress/gzip"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

var _ = Describe("Summarize", func() {
	// job returns the lines of a job with one task and an objective of one second.
	job := func(id string, accepted, started, ended int) []string {
		return []string{
			line(accepted, fmt.Sprintf(`"Event":"JobAdded","Job":%q,"Reason":"q","Objective":1000`, id)),
			line(started, fmt.Sprintf(`"Event":"TaskStart","Task":"%s/0/0/0","Run":1,"Worker":"w1","Reason":"Accepted"`, id)),
			line(ended, fmt.Sprintf(`"Event":"TaskEnded","Task":"%s/0/0/0","Run":1,"Worker":"w1","Reason":"Done"`, id)),
			line(ended, fmt.Sprintf(`"Event":"JobCompleted","Job":%q,"Took":%d,"Objective":1000`, id, ended-accepted)),
		}
	}
	summarize := func(lines ...string) diagnosis.Summary {
		GinkgoHelper()
		read, _, err := diagnosis.Read(strings.NewReader(strings.Join(lines, "\n")))
		Expect(err).NotTo(HaveOccurred())
		return diagnosis.Summarize(read, 5*time.Second)
	}
	refused := line(6100, `"Event":"Refused","Path":"/q/r","Method":"POST","Reason":"StoreUnavailable","RetryAfter":1000`)
	waited := append(append(job("fast", 0, 10, 900), job("late", 0, 1200, 2000)...), job("worst", 6000, 11000, 11500)...)

	It("counts jobs by outcome, queue and span of time", func() {
		d := summarize(append(waited, refused)...)
		Expect(d.All.Jobs).To(Equal(4))
		Expect(d.All.Outcomes).To(Equal(map[diagnosis.Outcome]int{
			diagnosis.InTime: 1, diagnosis.Late: 1, diagnosis.Worthless: 1, diagnosis.TurnedAway: 1,
		}))
		Expect(d.Queues).To(HaveLen(2))
		Expect(d.Queues[0].Name).To(Equal("q"))
		Expect(d.Queues[0].Jobs).To(Equal(3))
		Expect(d.Spans).To(HaveLen(2))
		Expect(d.Spans[1].Outcomes).To(HaveKeyWithValue(diagnosis.Worthless, 1))
	})

	It("totals the causes that made jobs late, in descending order of the time lost", func() {
		d := summarize(waited...)
		Expect(d.All.Causes).NotTo(BeEmpty())
		Expect(d.All.Causes[0]).To(Equal(diagnosis.CauseTotal{Cause: diagnosis.WaitedForRoom, First: 2, Lost: 6200 * time.Millisecond}))
		Expect(d.Latest).To(HaveLen(2))
		Expect(d.Latest[0].Job).To(Equal("worst"))
	})

	It("ignores time lost by jobs that were in time, have no end or were cancelled", func() {
		cancelled := append(job("c", 0, 4000, 4500)[:2], line(5000, `"Event":"JobCancelled","Job":"c","Took":5000,"Objective":1000`))
		open := job("o", 0, 4000, 4500)[:2]
		d := summarize(append(append(job("fast", 0, 10, 900), cancelled...), open...)...)
		Expect(d.All.Causes).To(BeEmpty())
		Expect(d.All.Outcomes).To(Equal(map[diagnosis.Outcome]int{
			diagnosis.InTime: 1, diagnosis.Withdrawn: 1, diagnosis.Open: 1,
		}))
	})

	It("totals the time that serving tasks lost, by reason", func() {
		d := summarize(
			line(1000, `"Event":"ServingOverTarget","Job":"j","Worker":"w1","Reason":"without fillers","Took":400`),
			line(2000, `"Event":"ServingOverTarget","Job":"j","Worker":"w2","Reason":"beside a filler known to interfere","Took":1500.5`),
			line(3000, `"Event":"ServingOverTarget","Job":"k","Worker":"w1","Reason":"without fillers","Took":600`),
			line(3100, `"Event":"TaskDown","Task":"j/0/0/1","Run":2,"Worker":"w1","Reason":"lease ended","Took":5000`),
		)
		Expect(d.OverTarget).To(Equal([]diagnosis.ReasonTotal{
			{Reason: "beside a filler known to interfere", Periods: 1, Lost: 1501 * time.Millisecond},
			{Reason: "without fillers", Periods: 2, Lost: time.Second},
		}))
		Expect(d.Down).To(Equal([]diagnosis.ReasonTotal{{Reason: "lease ended", Periods: 1, Lost: 5 * time.Second}}))
	})

	// Guards against a verdict that rests on the client's estimates: it counted 81 jobs of a
	// queue as late of which callers counted none.
	It("counts as callers do on a recorded day", func() {
		file, err := os.Open(filepath.Join("..", "..", "..", "testdata", "days", "quiet-1.jsonl.gz"))
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		unpacked, err := gzip.NewReader(file)
		Expect(err).NotTo(HaveOccurred())
		lines, skipped, err := diagnosis.Read(unpacked)
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(BeZero())
		d := diagnosis.Summarize(lines, 5*time.Second)

		// Callers counted 212 and 203 jobs of the two queues of batch jobs as in time, the
		// failed ones that can't be done among them, and 0 and 1 as late.
		const reservations, catalogs = "r-f75hqdf", "r-fqkpyek"
		outcomes := map[string]map[diagnosis.Outcome]int{}
		for _, q := range d.Queues {
			outcomes[q.Name] = q.Outcomes
		}
		Expect(outcomes[reservations][diagnosis.InTime] + outcomes[reservations][diagnosis.GivenUp]).To(BeNumerically("~", 212, 4))
		Expect(outcomes[reservations][diagnosis.Late]).To(BeNumerically("<=", 4))
		Expect(outcomes[catalogs][diagnosis.Late]).To(BeNumerically("~", 1, 4))

		// Callers counted 232 s of serving tasks over their targets.
		lost := time.Duration(0)
		for _, r := range d.OverTarget {
			lost += r.Lost
		}
		Expect(lost.Seconds()).To(BeNumerically("~", 232, 23.2))
	})

	It("limits a run on a slow worker when it derives the objective from the work", func() {
		lines := []string{line(0, `"Event":"JobAdded","Job":"s","Reason":"q","Objective":9000,"SlackFactor":2,"TargetLatency":100`)}
		for i, ended := range []int{1000, 1000, 8000} {
			lines = append(lines,
				line(0, fmt.Sprintf(`"Event":"TaskStart","Task":"s/0/0/%d","Run":1,"Worker":"w1","Reason":"Accepted"`, i)),
				line(ended, fmt.Sprintf(`"Event":"TaskEnded","Task":"s/0/0/%d","Run":1,"Worker":"w1","Reason":"Done"`, i)))
		}
		d := summarize(append(lines, line(8000, `"Event":"JobCompleted","Job":"s","Took":8000,"Objective":9000`))...)
		Expect(d.All.Outcomes).To(Equal(map[diagnosis.Outcome]int{diagnosis.Late: 1}))
		Expect(d.Latest[0].Objective).To(Equal(3100 * time.Millisecond))
	})

	It("summarizes an empty log as having no jobs", func() {
		Expect(summarize().All.Jobs).To(BeZero())
	})
})
