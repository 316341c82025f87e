package dispatcher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Guards against the row of a new job that can't be encoded, or that the store rejects. The former ended
// the process, the latter stopped all writes of the shard.
var _ = Describe("encodeJob", func() {
	expectRefused := func(j dispatch.Job) {
		GinkgoHelper()
		_, err := encodeJob(jobRow{Job: &j})
		Expect(err).To(MatchError(ContainSubstring(RefusedNotStorable)))
		Expect(err).To(HaveField("Permanent", true))
	}

	It("takes the largest job of ordinary steps", func() {
		j := dispatch.Job{ID: "00000bb87a21d94b", Spec: strings.Repeat("&", 4000), Repetitions: 1, FirstRun: time.Now()}
		for i := range 64 {
			j.Steps = append(j.Steps, dispatch.Step{
				Tasks: 2500, Estimate: time.Hour, After: []int{i}, Requires: "rack-1-10", PreferredRack: "rack-1-10", Image: "image-of-a-step", MaxPerWorker: 10,
			})
		}
		row, err := encodeJob(jobRow{Job: &j})
		Expect(err).NotTo(HaveOccurred())
		decoded, err := decode[jobRow](table.Row{Value: row})
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Job.Spec).To(Equal(j.Spec))
	})

	It("refuses a job that is too large for a row", func() {
		expectRefused(dispatch.Job{Steps: []dispatch.Step{{Image: dispatch.Image(strings.Repeat("x", 60<<10))}}})
	})

	It("refuses a job with a time that has no form in JSON", func() {
		expectRefused(dispatch.Job{FirstRun: time.Date(275760, time.September, 13, 0, 0, 0, 0, time.UTC)})
	})
})

// Guards against lists that outgrow a row: estimates grow with the pairs of images that callers name, and
// the runs that are being stopped with the names of workers.
var _ = Describe("The rows of the owner", func() {
	// maxRow is the limit of the store for a row, in bytes.
	const maxRow = 64 << 10

	loadedOwner := func() *owner {
		n := New(Options{Name: "a", Clock: clockwork.NewFakeClock(), Counters: &counter.Set{}})
		o := newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 1}, 0, func() {})
		o.loaded = true
		return o
	}
	valueOf := func(u update, key table.Key) []byte {
		GinkgoHelper()
		i := slices.IndexFunc(u.writes, func(w table.Write) bool { return w.Key == key })
		Expect(i).To(BeNumerically(">=", 0))
		return u.writes[i].Value
	}

	It("keep the strongest estimates if there are too many", func() {
		o := loadedOwner()
		var many []interference.Estimate
		for i := range 2000 {
			pair := interference.Pair{Service: "serving-image", Class: manifest.ClassName(fmt.Sprintf("image-%d", i))}
			many = append(many, interference.Estimate{Pair: pair, Probability: 0.3 + float64(i)/4000})
		}
		o.engine.RestoreEstimates(o.now(), many)
		value := valueOf(o.takeUpdate(), o.shard.partition.estimatesKey())
		Expect(len(value)).To(BeNumerically("<=", maxRow))
		stored, err := decode[[]interference.Estimate](table.Row{Value: value})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(stored)).To(BeNumerically(">", 300))
		Expect(stored[0].Pair.Class).To(Equal(manifest.ClassName("image-1999")))
	})

	It("keep as many runs that are being stopped as fit", func() {
		o := loadedOwner()
		var stopping []dispatch.StoppingRun
		for i := range maxStoppingRuns {
			id := membership.InstanceID(fmt.Sprintf("%s%03d", strings.Repeat("&", 197), i))
			o.engine.SetWorkers(o.now(), []dispatch.WorkerInfo{{ID: id}})
			stopping = append(stopping, dispatch.StoppingRun{TaskRun: dispatch.TaskRun{Task: dispatch.TaskID{Job: "j", Index: i}, Run: 1}, Worker: id})
		}
		o.engine.AwaitStops(o.now(), stopping)
		o.releaseRequested.Store(true)
		value := valueOf(o.takeUpdate(), o.shard.partition.stoppingKey())
		Expect(len(value)).To(BeNumerically("<=", maxRow))
		stored, err := decode[stoppingRow](table.Row{Value: value})
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Runs).NotTo(BeEmpty())
	})
})
