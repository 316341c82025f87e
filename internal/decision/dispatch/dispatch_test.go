package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dispatch")
}

var begin = time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)

const (
	lease      = 4 * time.Second
	batchQueue = dispatch.QueueName("batch")
	gigabyte   = resource.Bytes(1 << 30)
)

func cores(n float64) resource.Vector {
	return resource.Vector{Processors: resource.MilliProcessors(n * 1000), Memory: resource.Bytes(n) * gigabyte}
}

// fakeWorker executes commands as a worker does.
type fakeWorker struct {
	info    dispatch.WorkerInfo
	born    int64
	clock   time.Duration
	running map[dispatch.TaskID]*dispatch.RunningTask
	ended   []dispatch.End
	number  int64
	silent  bool
	// replaced reports that the worker has ended and another one answers at its address.
	replaced bool
}

// harness drives an engine with fake workers in simulated time.
type bench struct {
	engine  *dispatch.Engine
	now     time.Time
	workers map[membership.InstanceID]*fakeWorker
	starts  []dispatch.Command
	stops   []dispatch.Command
	paces   []dispatch.Command
}

func newBench(epoch dispatch.Epoch, workers int) *bench {
	b := &bench{
		engine:  dispatch.New(dispatch.Options{Epoch: epoch, LeaseTerm: lease}),
		now:     begin,
		workers: map[membership.InstanceID]*fakeWorker{},
	}
	b.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", MaxAttempts: 2, SlackFactor: 2},
	})
	for i := range workers {
		id := membership.InstanceID(fmt.Sprintf("w%d", i))
		b.workers[id] = newFakeWorker(id, 6)
	}
	return b
}

func newFakeWorker(id membership.InstanceID, processors float64) *fakeWorker {
	return &fakeWorker{
		info: dispatch.WorkerInfo{ID: id, Address: string(id), Service: "pool", Zone: "z", Capacity: cores(processors)},
		born: 1, running: map[dispatch.TaskID]*dispatch.RunningTask{},
	}
}

// listWorkers sends the list of all workers to the engine.
func (b *bench) list() {
	var list []dispatch.WorkerInfo
	for _, w := range b.workers {
		list = append(list, w.info)
	}
	b.engine.SetWorkers(b.now, list)
}

// pollWorkers polls each worker. Workers that aren't silent report.
func (b *bench) poll() {
	for _, id := range b.engine.Workers() {
		w := b.workers[id]
		p, _ := b.engine.Poll(b.now, id)
		if w != nil && w.replaced {
			b.engine.WorkerReplaced(b.now, id)
			continue
		}
		if w == nil || w.silent {
			b.engine.PollFailed(b.now, id)
			continue
		}
		r := dispatch.Report{Born: w.born, Clock: w.clock}
		for _, run := range w.running {
			r.Running = append(r.Running, *run)
		}
		for _, end := range w.ended {
			if end.Number > p.Observed {
				r.Ended = append(r.Ended, end)
			}
		}
		b.engine.Observe(b.now, id, r)
	}
}

// advance advances the time by d, polls the workers, ticks the engine and executes its
// commands.
func (b *bench) step(d time.Duration) {
	b.now = b.now.Add(d)
	for _, w := range b.workers {
		w.clock += d
	}
	b.poll()
	b.engine.Tick(b.now)
	for _, c := range b.engine.TakeCommands() {
		b.carryOut(c)
	}
	if batch := b.engine.TakeBatch(100); !batch.IsEmpty() {
		b.engine.Stored(b.now, batch)
	}
}

func (b *bench) carryOut(c dispatch.Command) {
	w := b.workers[c.Worker]
	switch {
	case c.Start != nil:
		b.starts = append(b.starts, c)
		if w.silent {
			b.engine.Started(b.now, c.Worker, c.TaskRun, dispatch.StartUnanswered, 0)
			return
		}
		w.running[c.Task] = &dispatch.RunningTask{TaskRun: c.TaskRun}
		b.engine.Started(b.now, c.Worker, c.TaskRun, dispatch.StartAccepted, w.clock)
	case c.Stop:
		b.stops = append(b.stops, c)
		if w.silent {
			return
		}
		b.engine.Stopped(c.Worker, c.TaskRun, w.clock)
		b.end(c.Worker, c.Task, dispatch.EndStopped)
	case c.Pace != nil:
		b.paces = append(b.paces, c)
		b.engine.Paced(b.now, c.Worker, c.TaskRun, *c.Pace)
	}
}

// endRun ends a run on a worker.
func (b *bench) end(id membership.InstanceID, task dispatch.TaskID, kind dispatch.EndKind) {
	w := b.workers[id]
	run, ok := w.running[task]
	if !ok {
		return
	}
	delete(w.running, task)
	w.number++
	w.ended = append(w.ended, dispatch.End{Number: w.number, TaskRun: run.TaskRun, Kind: kind})
}

// submit adds a job with the given steps.
func (b *bench) submit(id dispatch.JobID, steps ...dispatch.Step) {
	b.engine.AddJob(b.now, dispatch.Job{ID: id, Queue: batchQueue, Accepted: b.now, Steps: steps}, dispatch.Progress{}, false)
}

func tasks(n int) dispatch.Step {
	return dispatch.Step{Tasks: n, Resources: cores(1), Estimate: time.Second}
}

func expectState(b *bench, id dispatch.JobID, want dispatch.JobState) {
	GinkgoHelper()
	state, known := b.engine.State(id)
	Expect(known).To(BeTrue())
	Expect(state).To(Equal(want))
}

var _ = Describe("Engine", func() {
	It("runs the steps of a job in order and reports it as completed once the outcome is stored", func() {
		b := newBench(1, 1)
		b.list()
		second := tasks(1)
		second.After = []int{0}
		b.submit("j", tasks(2), second)
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(2))
		expectState(b, "j", dispatch.Running)
		b.end("w0", b.starts[0].Task, dispatch.EndDone)
		b.step(time.Second)
		Expect(b.starts).To(HaveLen(2))
		b.end("w0", b.starts[1].Task, dispatch.EndDone)
		b.step(time.Second)
		Expect(b.starts).To(HaveLen(3))
		b.end("w0", b.starts[2].Task, dispatch.EndDone)
		b.step(time.Second)
		expectState(b, "j", dispatch.Completed)
	})

	It("fails a job after the number of attempts that its queue allows", func() {
		b := newBench(1, 2)
		b.list()
		b.submit("j", tasks(1))
		b.step(0)
		b.step(0)
		for range 2 {
			last := b.starts[len(b.starts)-1]
			b.end(last.Worker, last.Task, dispatch.EndFailed)
			b.step(time.Second)
		}
		Expect(b.starts).To(HaveLen(2))
		Expect(b.starts[1].Worker).NotTo(Equal(b.starts[0].Worker))
		expectState(b, "j", dispatch.Failed)
	})

	It("never starts more tasks on a worker than fit its capacity", func() {
		b := newBench(1, 1)
		b.list()
		b.submit("j", tasks(9))
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(6))
	})

	It("restarts the task of a silent worker only after its lease has expired", func() {
		b := newBench(1, 2)
		b.list()
		b.submit("j", tasks(1))
		b.step(0)
		b.step(0)
		b.workers[b.starts[0].Worker].silent = true
		for range 39 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(HaveLen(1))
		for range 10 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(HaveLen(2))
	})

	// Guards against exceeding a worker's capacity after a takeover. In the soak with seed
	// 136, a job was cancelled while its owner stopped. The next owner stopped the job's run
	// and immediately started other tasks on the worker, before the run had ended.
	DescribeTable("counts a run left by an earlier owner against the capacity until it has ended", func(known bool) {
		b := newBench(2, 1)
		w := b.workers["w0"]
		left := dispatch.TaskRun{Task: dispatch.TaskID{Job: "left"}, Run: 1}
		w.running[left.Task] = &dispatch.RunningTask{TaskRun: left}
		b.list()
		if known {
			b.engine.AddJob(b.now, dispatch.Job{ID: "left", Queue: batchQueue, Accepted: b.now, Steps: []dispatch.Step{{Tasks: 1, Resources: cores(5)}}}, dispatch.Progress{}, true)
			b.engine.Cancel(b.now, "left")
		}
		b.submit("j", dispatch.Step{Tasks: 1, Resources: cores(4)})
		b.step(0)
		Expect(b.stops).To(HaveLen(1))
		Expect(b.starts).To(BeEmpty())
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(1))
	},
		Entry("for a run of a cancelled job", true),
		Entry("for a run of an unknown job", false),
	)

	It("retries an unanswered start unless it is suspended or the task is no longer wanted", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		b.submit("j", tasks(1))
		b.engine.Tick(b.now)
		c := b.engine.TakeCommands()[0]
		Expect(b.engine.MayRepeatStart(b.now, c.Worker, c.TaskRun)).To(BeTrue())
		b.engine.Suspend(b.now, true)
		Expect(b.engine.MayRepeatStart(b.now, c.Worker, c.TaskRun)).To(BeFalse())
		b.engine.Suspend(b.now, false)
		b.engine.Cancel(b.now, "j")
		Expect(b.engine.MayRepeatStart(b.now, c.Worker, c.TaskRun)).To(BeFalse())
	})

	// Guards against retries that add to an overload. In run scale-2 of a site that had grown,
	// the owner had too little processor time, so answers took longer than its timeout. The
	// retries slowed it down further, and 410 leases expired.
	It("retries only a share of the unanswered starts, and waits longer when answers are slow", func() {
		b := newBench(1, 200)
		b.list()
		b.step(0)
		b.submit("j", tasks(1000))
		b.engine.Tick(b.now)
		commands := b.engine.TakeCommands()
		Expect(commands).To(HaveLen(128))
		least := commands[0].Patience
		repeated := 0
		for n, c := range commands {
			if n%2 == 0 {
				b.engine.Started(b.now, c.Worker, c.TaskRun, dispatch.StartAccepted, 0)
			} else if b.engine.MayRepeatStart(b.now, c.Worker, c.TaskRun) {
				repeated++
			}
		}
		Expect(repeated).To(BeNumerically("<", len(commands)/4))
		Expect(repeated).To(BeNumerically(">", 0))
		b.engine.Tick(b.now)
		Expect(b.engine.TakeCommands()[0].Patience).To(BeNumerically(">", 2*least))
	})

	// Guards against a task that runs twice: an unanswered start may be executed late, even by
	// the next incarnation of its worker, which doesn't know the epoch.
	It("stops an unanswered start on the restarted worker before it starts the task on another one", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		b.workers["w0"].silent = true
		b.submit("j", tasks(1))
		b.engine.Tick(b.now)
		for _, c := range b.engine.TakeCommands() {
			b.carryOut(c)
		}
		Expect(b.starts).To(HaveLen(1))
		b.workers["w0"].silent, b.workers["w0"].born, b.workers["w0"].clock = false, 2, 0
		b.workers["w0"].info.Draining = true
		b.workers["w1"] = newFakeWorker("w1", 6)
		b.list()
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(1))
		Expect(b.stops).To(HaveLen(1))
		b.step(100 * time.Millisecond)
		b.step(100 * time.Millisecond)
		Expect(b.workersOf("j")).To(Equal([]membership.InstanceID{"w1"}))
	})

	// Guards against a task that runs twice after a takeover, because the new owner considered
	// the recovery complete before it had received the list of workers.
	It("starts no recovered task before all workers have reported", func() {
		b := newBench(2, 2)
		b.engine.AddJob(b.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: b.now, Steps: []dispatch.Step{tasks(1)}}, dispatch.Progress{}, true)
		b.engine.Recover(b.now, 0)
		b.step(0)
		run := dispatch.TaskRun{Task: dispatch.TaskID{Job: "j"}, Run: 1}
		b.workers["w1"].running[run.Task] = &dispatch.RunningTask{TaskRun: run}
		b.workers["w1"].silent = true
		b.list()
		b.step(0)
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(BeEmpty())
		b.workers["w1"].silent = false
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(BeEmpty())
		expectState(b, "j", dispatch.Running)
	})

	It("starts nothing and renews no leases while another owner may have taken over", func() {
		b := newBench(1, 2)
		b.list()
		b.submit("j", tasks(1))
		b.step(0)
		b.step(0)
		b.workers[b.starts[0].Worker].silent = true
		b.step(100 * time.Millisecond)
		b.engine.Suspend(b.now, true)
		b.submit("new", tasks(1))
		for range 60 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(HaveLen(1))
		for _, id := range b.engine.Workers() {
			p, _ := b.engine.Poll(b.now, id)
			Expect(p.Lease).To(BeZero())
		}
		b.engine.Suspend(b.now, false)
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(3))
	})

	It("stops a run of a job that it doesn't know", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		run := dispatch.TaskRun{Task: dispatch.TaskID{Job: "other"}, Run: 1}
		b.workers["w0"].running[run.Task] = &dispatch.RunningTask{TaskRun: run}
		b.step(0)
		Expect(b.stops).To(HaveLen(1))
	})

	// Guards against running a job again if its submission is repeated after it has ended
	// under an earlier owner.
	It("doesn't run a finished job again", func() {
		b := newBench(2, 1)
		b.list()
		b.engine.AddFinished(b.now, "j", dispatch.Completed)
		b.submit("j", tasks(1))
		b.step(0)
		b.step(0)
		Expect(b.starts).To(BeEmpty())
		expectState(b, "j", dispatch.Completed)
	})
})

// servingStep returns a step of latency-critical tasks, at most one on each worker.
func servingStep(n int) dispatch.Step {
	return dispatch.Step{
		Tasks: n, Resources: cores(2), LongRunning: true, Image: "serve",
		Target: 20 * time.Millisecond, MaxPerWorker: 1,
	}
}

// fillerStep returns a step of fillers of the image.
func fillerStep(n int, image dispatch.Image) dispatch.Step {
	return dispatch.Step{Tasks: n, Resources: cores(1), Filler: true, Image: image, Estimate: time.Second}
}

// longRunningStep returns a step of serving tasks of the given size. Any number of them may
// share a worker.
func lastingStep(n int, processors float64) dispatch.Step {
	return dispatch.Step{Tasks: n, Resources: cores(processors), LongRunning: true, Image: "serve", Target: 20 * time.Millisecond}
}

// reportTail makes the serving tasks of the worker report a tail latency in milliseconds, and
// the fillers the use of one processor.
func (w *fakeWorker) serve(tail int) {
	for id, run := range w.running {
		if id.Job == "serving" {
			run.Percent, run.Measure = 100, tail
		} else {
			run.Measure = 1000
		}
	}
}

// reportTails makes the serving tasks of all workers report a tail latency.
func (b *bench) serveAt(tail int) {
	for _, w := range b.workers {
		w.serve(tail)
	}
}

// reportTailsBeside makes the serving tasks report a high tail latency on workers that run a
// filler whose job ID begins with the given image, and a low one on all others.
func (b *bench) serveBeside(loud string) {
	for _, w := range b.workers {
		tail := 5
		for id := range w.running {
			if strings.HasPrefix(string(id.Job), loud) {
				tail = 60
			}
		}
		w.serve(tail)
	}
}

// completeFillers ends all fillers successfully.
func (b *bench) endFillers() {
	for id, w := range b.workers {
		for task := range w.running {
			if task.Job != "serving" {
				b.end(id, task, dispatch.EndDone)
			}
		}
	}
}

// workersOf returns the worker of each running task of a job.
func (b *bench) workersOf(id dispatch.JobID) []membership.InstanceID {
	var on []membership.InstanceID
	for worker, w := range b.workers {
		for task := range w.running {
			if task.Job == id {
				on = append(on, worker)
			}
		}
	}
	return on
}

var _ = Describe("Fillers", func() {
	// setUp runs a serving task on a worker and a filler beside it.
	setUp := func() *bench {
		b := newBench(1, 1)
		b.list()
		b.submit("serving", servingStep(1))
		b.step(0)
		b.step(0)
		b.serveAt(5)
		b.submit("fill", fillerStep(1, "loud"))
		b.step(time.Second)
		Expect(b.workersOf("fill")).To(HaveLen(1))
		return b
	}

	It("moves a filler away from a serving task with which it interferes", func() {
		b := setUp()
		b.workers["w1"] = &fakeWorker{
			info: dispatch.WorkerInfo{ID: "w1", Address: "w1", Service: "pool", Zone: "z", Capacity: cores(4)},
			born: 1, running: map[dispatch.TaskID]*dispatch.RunningTask{},
		}
		b.list()
		b.step(time.Second)
		for range 4 {
			b.serveAt(60)
			b.step(500 * time.Millisecond)
		}
		Expect(b.stops).To(HaveLen(1))
		Expect(b.workersOf("fill")).To(Equal([]membership.InstanceID{"w1"}))
	})

	It("stops an interfering filler that can't run elsewhere and retries it much later", func() {
		b := setUp()
		for range 4 {
			b.serveAt(60)
			b.step(500 * time.Millisecond)
		}
		Expect(b.stops).To(HaveLen(1))
		Expect(b.workersOf("fill")).To(BeEmpty())
		for range 60 {
			b.serveAt(5)
			b.step(time.Second)
		}
		Expect(b.workersOf("fill")).To(HaveLen(1))
	})

	// Guards against counting one measurement several times. A worker repeats a measurement in
	// its reports until the next one.
	It("learns once from a measurement that is reported several times", func() {
		b := setUp()
		b.serveAt(21)
		for range 12 {
			b.step(30 * time.Millisecond)
		}
		b.serveAt(5)
		for range 4 {
			b.step(500 * time.Millisecond)
		}
		Expect(b.stops).To(BeEmpty())
	})

	// Guards against blaming harmless fillers for the effect of another one, which kept most
	// fillers of a site from running.
	It("identifies which of several filler images interferes", func() {
		b := newBench(1, 4)
		b.list()
		b.submit("serving", servingStep(4))
		b.step(0)
		b.step(0)
		quiet := []dispatch.Image{"q1", "q2", "q3"}
		for round := range 12 {
			for i, image := range append(quiet, "loud") {
				b.submit(dispatch.JobID(fmt.Sprintf("%s-%d-%d", image, round, i)), fillerStep(2, image))
			}
			for range 4 {
				b.serveBeside("loud")
				b.step(500 * time.Millisecond)
			}
			b.endFillers()
		}
		b.step(time.Second)
		stops := len(b.stops)
		for _, image := range quiet {
			b.submit(dispatch.JobID(image+"-last"), fillerStep(2, image))
		}
		for range 6 {
			b.serveBeside("loud")
			b.step(500 * time.Millisecond)
		}
		Expect(b.stops).To(HaveLen(stops))
	})

	It("neither stops nor slows down a filler known to be harmless during a short load peak", func() {
		b := setUp()
		for range 20 {
			b.serveAt(5)
			b.step(500 * time.Millisecond)
		}
		b.serveAt(22)
		b.step(500 * time.Millisecond)
		b.serveAt(5)
		b.step(500 * time.Millisecond)
		Expect(b.stops).To(BeEmpty())
		Expect(b.paces).To(BeEmpty())
	})

	It("slows down all fillers when serving tasks stay over their target", func() {
		b := setUp()
		for range 20 {
			b.serveAt(5)
			b.step(500 * time.Millisecond)
		}
		for range 5 {
			b.serveAt(22)
			b.step(500 * time.Millisecond)
		}
		Expect(b.paces).NotTo(BeEmpty())
	})
})

// Guards against a filler job that never runs. In run trouble-1 of a site, a third of the
// workers was out of service and a filler image interfered with the serving tasks on all
// others. Its job never ran although most capacity was free, and was counted as lost.
var _ = Describe("A filler that interferes on all workers", func() {
	It("is force-started after a delay, at a pace that the serving tasks allow", func() {
		b := newBench(1, 1)
		b.list()
		b.submit("serving", servingStep(1))
		b.step(0)
		b.step(0)
		b.engine.RestoreEstimates(b.now, []interference.Estimate{
			{Pair: interference.Pair{Service: "serve", Class: "loud"}, Probability: 0.97},
		})
		b.submit("loud", fillerStep(3, "loud"))
		for range 50 {
			b.serveAt(5)
			b.step(100 * time.Millisecond)
		}
		Expect(b.workersOf("loud")).To(BeEmpty())
		for range 15 {
			b.serveAt(5)
			b.step(100 * time.Millisecond)
		}
		Expect(b.workersOf("loud")).NotTo(BeEmpty())
		Expect(len(b.workersOf("loud"))).To(BeNumerically("<=", 2))
		stopped := len(b.stops)
		for range 15 {
			b.serveBeside("loud")
			b.step(100 * time.Millisecond)
		}
		Expect(b.stops).To(HaveLen(stopped))
		Expect(b.paces).NotTo(BeEmpty())
		Expect(*b.paces[len(b.paces)-1].Pace).To(BeZero())
	})
})

// Guards against a job that makes no progress at the end of a day, when fillers of other jobs
// use all idle processors and hardly any are reserved (counted as lost in run trouble-1).
var _ = Describe("A filler that finds no idle processors", func() {
	It("is force-started after a delay if no other task of its job runs", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		b.submit("first", fillerStep(6, "a"))
		b.step(0)
		Expect(b.workersOf("first")).To(HaveLen(6))
		late := fillerStep(4, "b")
		late.Resources = resource.Vector{Processors: 1000}
		b.submit("late", late)
		for range 50 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.workersOf("late")).To(BeEmpty())
		for range 15 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.workersOf("late")).To(HaveLen(1))
	})
})

var _ = Describe("Scarce workers", func() {
	// Guards against fillers that wait because others occupy the only workers they can use. In
	// run quiet-1 of a site, two filler images were compatible with only two of five serving
	// images, and fillers that can run anywhere took those workers.
	It("are left to the fillers that can run nowhere else", func() {
		b := newBench(1, 2)
		b.workers["w1"].info.Capacity = cores(7)
		b.list()
		b.engine.RestoreEstimates(b.now, []interference.Estimate{
			{Pair: interference.Pair{Service: "touchy", Class: "picky"}, Probability: 0.97},
			{Pair: interference.Pair{Service: "calm", Class: "picky"}, Probability: 0.02},
			{Pair: interference.Pair{Service: "touchy", Class: "any"}, Probability: 0.02},
			{Pair: interference.Pair{Service: "calm", Class: "any"}, Probability: 0.02},
		})
		serving := func(image dispatch.Image) dispatch.Step {
			return dispatch.Step{Tasks: 1, Resources: cores(2), LongRunning: true, Image: image, Target: 20 * time.Millisecond}
		}
		b.submit("touchy", serving("touchy"))
		b.step(0)
		b.submit("calm", serving("calm"))
		b.step(0)
		waiting := fillerStep(1, "picky")
		waiting.After = []int{0}
		b.submit("picky", tasks(1), waiting)
		b.step(time.Second)
		b.submit("any", fillerStep(1, "any"))
		b.step(time.Second)
		Expect(b.workersOf("any")).To(Equal(b.workersOf("touchy")))
	})
})

var _ = Describe("Stragglers", func() {
	// setUp runs three tasks on three of four workers.
	setUp := func() *bench {
		b := newBench(1, 4)
		b.list()
		s := tasks(3)
		s.Estimate, s.MaxPerWorker = 2*time.Second, 1
		b.submit("j", s)
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(3))
		return b
	}
	advance := func(b *bench, task, percent int) {
		if run := b.workers[b.starts[task].Worker].running[b.starts[task].Task]; run != nil {
			run.Percent = percent
		}
	}

	It("moves a task from a slow worker to another one", func() {
		b := setUp()
		for i := 1; i <= 3; i++ {
			advance(b, 0, 25*i)
			advance(b, 1, 24*i)
			advance(b, 2, 4*i)
			b.step(500 * time.Millisecond)
		}
		Expect(b.stops).To(HaveLen(1))
		Expect(b.stops[0].Worker).To(Equal(b.starts[2].Worker))
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(4))
		Expect(b.starts[3].Worker).NotTo(Equal(b.starts[2].Worker))
		Expect(b.starts[3].Run).To(BeEquivalentTo(2))
	})

	It("restarts a task that makes no progress", func() {
		b := setUp()
		for i := 1; i <= 8; i++ {
			advance(b, 0, min(10*i, 99))
			advance(b, 1, min(10*i, 99))
			b.step(500 * time.Millisecond)
		}
		Expect(b.stops).To(HaveLen(1))
		Expect(b.stops[0].Worker).To(Equal(b.starts[2].Worker))
	})

	It("doesn't restart tasks whose durations differ only a little", func() {
		b := setUp()
		for i := 1; i <= 4; i++ {
			advance(b, 0, 20*i)
			advance(b, 1, 24*i)
			advance(b, 2, 14*i)
			b.step(500 * time.Millisecond)
		}
		Expect(b.stops).To(BeEmpty())
	})
})

var _ = Describe("Advice", func() {
	It("starts an advised step only on workers that the placement policy allows", func() {
		b := newBench(1, 3)
		b.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
			batchQueue: {Name: batchQueue, Service: "pool", MaxAttempts: 2, Advised: true},
		})
		b.list()
		b.submit("j", tasks(2))
		b.step(0)
		b.step(0)
		asked := b.engine.TakeAdviceRequests()
		Expect(asked).To(HaveLen(1))
		Expect(asked[0].Workers).To(HaveLen(3))
		Expect(b.starts).To(BeEmpty())
		b.engine.Advised(b.now, asked[0], []dispatch.Grant{{Worker: "w1", Ticket: "t"}}, 3*time.Second)
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(2))
		for _, c := range b.starts {
			Expect(c.Worker).To(Equal(membership.InstanceID("w1")))
			Expect(c.Start.Ticket).To(Equal(dispatch.Ticket("t")))
		}
		Expect(b.engine.TakeAdviceRequests()).To(BeEmpty())
	})
})

var _ = Describe("Gangs", func() {
	gang := func() dispatch.Step {
		s := tasks(3)
		s.Gang = true
		return s
	}

	It("start all their tasks with the same run number, or none", func() {
		b := newBench(1, 1)
		b.list()
		b.submit("small", tasks(5))
		b.step(0)
		b.step(0)
		b.submit("j", gang())
		b.step(time.Second)
		Expect(b.starts).To(HaveLen(5))
		for _, c := range b.starts {
			b.end(c.Worker, c.Task, dispatch.EndDone)
		}
		b.step(time.Second)
		Expect(b.starts).To(HaveLen(8))
		for _, c := range b.starts[5:] {
			Expect(c.Run).To(BeEquivalentTo(1))
		}
	})

	It("fail as a whole whichever task fails", func() {
		b := newBench(1, 1)
		b.list()
		b.submit("j", gang())
		b.step(0)
		b.step(0)
		for failing := range 2 {
			for i, c := range b.starts[len(b.starts)-3:] {
				kind := dispatch.EndBroken
				if i == failing {
					kind = dispatch.EndFailed
				}
				b.end(c.Worker, c.Task, kind)
			}
			b.step(time.Second)
		}
		Expect(b.starts).To(HaveLen(6))
		expectState(b, "j", dispatch.Failed)
	})
})

var _ = Describe("A worker whose address another worker has taken over", func() {
	// Guards against waiting for the leases of runs to expire although their worker has
	// certainly ended.
	It("loses its runs immediately", func() {
		b := newBench(1, 2)
		b.list()
		b.submit("j", tasks(1))
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(1))
		b.workers[b.starts[0].Worker].replaced = true
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(2))
		Expect(b.starts[1].Worker).NotTo(Equal(b.starts[0].Worker))
	})
})

var _ = Describe("Recovery", func() {
	// takeOver makes a new owner recover a job with one task. It returns the worker that the
	// earlier owner used. The list of workers isn't known yet.
	takeOver := func() (*bench, *fakeWorker) {
		b := newBench(2, 2)
		used := b.workers["w1"]
		b.engine.RememberWorkers(b.now, []dispatch.WorkerInfo{used.info})
		b.engine.AddJob(b.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: b.now, Steps: []dispatch.Step{tasks(1)}}, dispatch.Progress{}, true)
		b.engine.Recover(b.now, 0)
		return b, used
	}

	// Guards against a second run of a task. The worker's entry expired while the store was
	// unavailable, so it isn't listed, but it may still run the task.
	It("waits for workers that the earlier owner used but that aren't listed", func() {
		b, hidden := takeOver()
		b.engine.SetWorkers(b.now, []dispatch.WorkerInfo{b.workers["w0"].info})
		hidden.silent = true
		for range 35 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(BeEmpty())
		for range 15 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(HaveLen(1))
	})

	// Guards against a shard that makes no progress until the leases of ended workers have
	// expired, although their machines lost power and already run new workers (bogkreds-jt,
	// run trouble-1: 13.6 s over two takeovers).
	It("doesn't wait for a worker whose address another worker has taken over", func() {
		b, ended := takeOver()
		b.engine.SetWorkers(b.now, []dispatch.WorkerInfo{b.workers["w0"].info})
		ended.silent = true
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(BeEmpty())
		ended.replaced = true
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(1))
	})

	// Guards against a second run of a task on a worker that has moved: a different worker at
	// the address that the earlier owner knew doesn't prove that the moved one has ended.
	It("waits for a worker that is listed at another address", func() {
		b, moved := takeOver()
		b.engine.WorkerReplaced(b.now, "w1")
		moved.info.Address = "elsewhere"
		moved.silent = true
		b.list()
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(BeEmpty())
	})

	// Guards against two runs of a task of a new job: an owner that didn't know yet that it had
	// been replaced started the task on a worker that the new owner hadn't reached
	// (amagasa-kyushu, run mix with seed 608627514168, counted as run twice).
	It("starts no new job until the earlier owner must have noticed the takeover", func() {
		b := newBench(2, 2)
		b.workers["w1"].silent = true
		b.engine.Recover(b.now, 0)
		b.list()
		b.submit("new", tasks(1))
		for range 15 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(BeEmpty())
		for range 10 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(HaveLen(1))
		Expect(b.starts[0].Worker).To(Equal(membership.InstanceID("w0")))
	})

	It("starts new jobs immediately once all workers have reported", func() {
		b := newBench(2, 2)
		b.engine.Recover(b.now, 0)
		b.list()
		b.submit("new", tasks(1))
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(1))
	})

	// Guards against a job that never runs because the new owner doesn't know its queue: the
	// queue's route was removed after the job had been accepted.
	It("runs a recovered job whose queue is no longer configured", func() {
		b := newBench(2, 2)
		b.list()
		removed := dispatch.Queue{Name: "removed", Service: "pool", MaxAttempts: 1}
		b.engine.AddJob(b.now, dispatch.Job{
			ID: "j", Queue: removed.Name, Settings: removed, Accepted: b.now, Steps: []dispatch.Step{tasks(1)},
		}, dispatch.Progress{}, true)
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(1))
		b.end(b.starts[0].Worker, b.starts[0].Task, dispatch.EndFailed)
		b.step(time.Second)
		expectState(b, "j", dispatch.Failed)
	})

	// Guards against an owner that forgets a finished job before its row is removed. It would
	// overwrite the outcome with a repeated submission and run the job again.
	It("remembers a finished job for longer than its outcome is stored", func() {
		b := newBench(1, 1)
		b.list()
		b.submit("j", tasks(1))
		b.step(0)
		b.step(0)
		b.end("w0", b.starts[0].Task, dispatch.EndDone)
		b.step(time.Second)
		expectState(b, "j", dispatch.Completed)
		b.step(4 * time.Minute)
		Expect(b.engine.Knows("j")).To(BeTrue())
	})

	It("restores stored progress", func() {
		b := newBench(2, 1)
		b.list()
		second := tasks(1)
		second.After = []int{0}
		b.engine.AddJob(b.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: b.now, Steps: []dispatch.Step{tasks(3), second}},
			dispatch.Progress{Steps: []dispatch.StepProgress{{Done: []dispatch.TaskRange{{First: 0, Last: 1}}, Checkpoints: map[int]dispatch.Checkpoint{2: "c"}}}}, true)
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(1))
		Expect(b.starts[0].Task.Index).To(Equal(2))
		Expect(b.starts[0].Start.Checkpoint).To(Equal(dispatch.Checkpoint("c")))
	})
})

var _ = Describe("Serving tasks", func() {
	// Guards against a single serving task that blocks a worker. In run scale-1 of a site, most
	// fillers interfered with its image, so it kept all fillers off a worker with tasks of
	// another image.
	It("move off a worker on which they alone block fillers", func() {
		b := newBench(1, 2)
		b.list()
		var learned []interference.Estimate
		learned = append(learned, interference.Estimate{Pair: interference.Pair{Service: "touchy", Class: "fill"}, Probability: 0.97},
			interference.Estimate{Pair: interference.Pair{Service: "calm", Class: "fill"}, Probability: 0.02})
		serving := func(image dispatch.Image, n int) dispatch.Step {
			return dispatch.Step{Tasks: n, Resources: cores(1), LongRunning: true, Image: image, Target: 20 * time.Millisecond}
		}
		b.submit("calm", serving("calm", 3))
		b.step(0)
		b.step(0)
		calm := b.starts[0].Worker
		other := membership.InstanceID("w0")
		if calm == "w0" {
			other = "w1"
		}
		b.submit("touchy-home", serving("touchy", 1))
		b.step(0)
		Expect(b.workersOf("touchy-home")).To(Equal([]membership.InstanceID{other}))
		b.workers[other].silent = true
		b.step(0)
		b.submit("touchy", serving("touchy", 1))
		b.step(0)
		b.workers[other].silent = false
		Expect(b.workersOf("touchy")).To(Equal([]membership.InstanceID{calm}))
		b.engine.RestoreEstimates(b.now, learned)
		b.submit("fill", fillerStep(1, "fill"))
		for range 4 {
			for _, w := range b.workers {
				for _, run := range w.running {
					run.Percent = 100
				}
			}
			b.step(300 * time.Millisecond)
		}
		Expect(b.workersOf("touchy")).To(Equal([]membership.InstanceID{other}))
	})
})

var _ = Describe("Draining workers", func() {
	drain := func(b *bench, id membership.InstanceID) {
		w := b.workers[id]
		w.info.Draining, w.info.Remaining = true, 2*time.Second
		b.list()
	}

	It("lose their long-running tasks immediately and keep short ones", func() {
		b := newBench(1, 2)
		b.list()
		b.submit("long", servingStep(1))
		b.step(0)
		b.step(0)
		leaving := b.starts[0].Worker
		b.submit("short", dispatch.Step{Tasks: 2, Resources: cores(1), Estimate: time.Second, MaxPerWorker: 1})
		b.step(100 * time.Millisecond)
		drain(b, leaving)
		b.step(100 * time.Millisecond)
		Expect(b.stops).To(HaveLen(1))
		Expect(b.stops[0].Task.Job).To(Equal(dispatch.JobID("long")))
		b.step(100 * time.Millisecond)
		Expect(b.workersOf("long")).NotTo(ContainElement(leaving))
	})

	// Guards against waiting for the lease of a worker to expire that has left as announced.
	It("lose their tasks once they are no longer listed and silent", func() {
		b := newBench(1, 2)
		b.list()
		b.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
		b.step(0)
		b.step(0)
		leaving := b.starts[0].Worker
		drain(b, leaving)
		b.step(100 * time.Millisecond)
		gone := b.workers[leaving]
		gone.silent = true
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(1))
		delete(b.workers, leaving)
		b.list()
		b.step(100 * time.Millisecond)
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(2))
	})
})

// Guards against urgent tasks that wait behind batch tasks: on a quiet day on which all
// processors were reserved, tasks of the most urgent queue waited up to 8 s.
var _ = Describe("Preemption", func() {
	setUp := func(urgent, batch int) *bench {
		b := newBench(1, 1)
		b.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
			batchQueue: {Name: batchQueue, Service: "pool", MaxAttempts: 2, Priority: batch},
			"urgent":   {Name: "urgent", Service: "pool", MaxAttempts: 2, Priority: urgent},
		})
		b.list()
		saving := tasks(3)
		saving.Checkpointing = true
		b.submit("saving", saving)
		b.submit("other", tasks(3))
		b.step(0)
		b.step(0)
		Expect(b.starts).To(HaveLen(6))
		b.engine.AddJob(b.now, dispatch.Job{ID: "urgent", Queue: "urgent", Accepted: b.now, Steps: []dispatch.Step{tasks(2)}}, dispatch.Progress{}, false)
		return b
	}

	It("stops batch tasks that lose no work when a more urgent queue waits", func() {
		b := setUp(0, 2)
		b.step(100 * time.Millisecond)
		Expect(b.stops).To(BeEmpty())
		for range 4 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.stops).To(HaveLen(2))
		for _, c := range b.stops {
			Expect(c.Task.Job).To(Equal(dispatch.JobID("saving")))
		}
		Expect(b.workersOf("urgent")).To(HaveLen(2))
	})

	It("doesn't stop tasks of a queue with the same priority", func() {
		b := setUp(2, 2)
		for range 10 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.stops).To(BeEmpty())
	})
})
