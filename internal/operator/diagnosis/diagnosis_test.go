package diagnosis_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

func TestDiagnosis(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Diagnosis")
}

// line returns a log line with a time in milliseconds after the start of the log.
func line(ms int, fields string) string {
	at := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf(`{"level":"info","Instance":"n1",%s,"time":%q}`, fields, at.Format(time.RFC3339Nano))
}

func explain(job string, lines ...string) diagnosis.Report {
	GinkgoHelper()
	read, _, err := diagnosis.Read(strings.NewReader(strings.Join(lines, "\n")))
	Expect(err).NotTo(HaveOccurred())
	return diagnosis.Explain(read, job)
}

func expectCause(r diagnosis.Report, cause diagnosis.Cause, facts string) {
	GinkgoHelper()
	Expect(r.Findings).NotTo(BeEmpty())
	Expect(r.Findings[0].Cause).To(Equal(cause))
	Expect(r.Findings[0].Facts).To(ContainSubstring(facts))
}

var _ = Describe("Explain", func() {
	added := line(0, `"Event":"JobAdded","Job":"j","Reason":"q","Objective":1000`)
	start := func(ms, number int, worker string) string {
		return line(ms, fmt.Sprintf(`"Event":"TaskStart","Task":"j/0/0/0","Run":%d,"Worker":%q,"Reason":"Accepted"`, number, worker))
	}
	end := func(ms, number int, event, reason string) string {
		return line(ms, fmt.Sprintf(`"Event":%q,"Task":"j/0/0/0","Run":%d,"Worker":"w1","Reason":%q`, event, number, reason))
	}
	completed := func(ms int) string {
		return line(ms, fmt.Sprintf(`"Event":"JobCompleted","Job":"j","Took":%d,"Objective":1000`, ms))
	}

	It("finds that a job waited for a worker with capacity", func() {
		r := explain("j", added, start(3000, 1, "w1"), end(3500, 1, "TaskEnded", "Done"), completed(3500))
		expectCause(r, diagnosis.WaitedForRoom, "j/0/0/0")
		Expect(r.Findings[0].Lost).To(Equal(3 * time.Second))
		Expect(r.State).To(Equal("Completed"))
	})

	It("finds a lost worker regardless of the order of the lines", func() {
		r := explain("j", completed(7000), end(7000, 2, "TaskEnded", "Done"), start(5000, 2, "w2"),
			end(5000, 1, "TaskLost", "lease ended"), line(400, `"Event":"WorkerSilent","Worker":"w1"`), start(10, 1, "w1"), added)
		expectCause(r, diagnosis.WorkerLost, "WorkerSilent")
		Expect(r.Findings[0].Lost).To(Equal(4990 * time.Millisecond))
	})

	It("finds failed runs and evicted runs", func() {
		r := explain("j", added, start(10, 1, "w1"), end(2000, 1, "TaskEnded", "Failed"), start(2010, 2, "w2"),
			end(2500, 2, "TaskEnded", "Done"), completed(2500))
		expectCause(r, diagnosis.FailedRuns, "failed on w1")
		r = explain("j", added, start(10, 1, "w1"), end(1900, 1, "TaskStopping", "disturbs a serving task"),
			end(2000, 1, "TaskEnded", "Stopped"), start(2010, 2, "w2"), end(2500, 2, "TaskEnded", "Done"), completed(2500))
		expectCause(r, diagnosis.Evicted, "disturbs a serving task")
	})

	It("finds that the tasks themselves exceeded the objective", func() {
		r := explain("j", added, start(10, 1, "w1"), end(2500, 1, "TaskEnded", "Done"), completed(2500))
		expectCause(r, diagnosis.LongTasks, "j/0/0/0")
	})

	It("finds why a job was refused", func() {
		r := explain("j", line(0, `"message":"store lost","Call":"Commit"`),
			line(100, `"Event":"Refused","Path":"/q/j","Method":"POST","Reason":"StoreUnavailable","RetryAfter":1000`))
		expectCause(r, diagnosis.Refused, "StoreUnavailable")
		expectCause(r, diagnosis.Refused, "store lost")
	})

	It("reports jobs without a log line or without an end", func() {
		expectCause(explain("other", added), diagnosis.NotLogged, "id")
		expectCause(explain("j", added, start(10, 1, "w1")), diagnosis.NotFinished, "no end")
	})

	It("skips text that isn't a log line and ignores a prefix before the JSON", func() {
		lines, skipped, err := diagnosis.Read(strings.NewReader("text\n{broken\n{}\n  1.5 n1 " + added))
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(3))
		Expect(lines).To(HaveLen(1))
		Expect(lines[0].Job).To(Equal("j"))
	})
})
