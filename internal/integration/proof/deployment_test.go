package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/instance"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/httpserver"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

const (
	// readyTimeout is the time within which a started deployment must be ready.
	readyTimeout = 20 * time.Second
	// configTimeout is the documented time within which all instances use a published manifest.
	configTimeout = 11 * time.Second
)

// The zones of the test deployment.
const (
	zoneA = "zone-a"
	zoneB = "zone-b"
)

// deployment is a set of processes: the simulated platform, entry instances, workers and
// executors.
type deployment struct {
	directory       string
	platform        *process
	platformAddress string
	entries         map[string]*entryProcess
	workers         map[string]*workerProcess
	executors       map[string]*executorProcess
}

// executorProcess is a simulated executor behind a proxy.
type executorProcess struct {
	*process
	id      string
	host    string
	address string
	proxy   *proxy.Proxy
	journal string
	// connections limits its connections. It is set by startExecutorWithFewSlots.
	connections int
}

// entryProcess is an entry instance. Its traffic to the platform passes through a proxy.
type entryProcess struct {
	*process
	instance.Addresses
	platform *proxy.Proxy
}

// workerProcess is a simulated worker behind a proxy.
type workerProcess struct {
	*process
	id      string
	address string
	proxy   *proxy.Proxy
	journal string
}

// startPlatform starts the simulated platform and returns a deployment without other processes.
func startPlatform() *deployment {
	GinkgoHelper()
	d := &deployment{
		directory: GinkgoT().TempDir(),
		entries:   map[string]*entryProcess{},
		workers:   map[string]*workerProcess{},
		executors: map[string]*executorProcess{},
	}
	var ready httpserver.Ready
	d.platform = start(&ready, "standin", "platform", "--address", "127.0.0.1:0")
	d.platformAddress = ready.Address
	return d
}

func newProxy(target string) *proxy.Proxy {
	GinkgoHelper()
	p, err := proxy.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

// startEntry starts an entry instance in a zone.
func (d *deployment) startEntry(id, zoneName string, args ...string) *entryProcess {
	GinkgoHelper()
	return d.startEntryOf(binary, id, zoneName, args...)
}

// startEntryOf is startEntry for the program at the given path.
func (d *deployment) startEntryOf(program, id, zoneName string, args ...string) *entryProcess {
	GinkgoHelper()
	e := &entryProcess{platform: newProxy(d.platformAddress)}
	e.process = startProgram(program, &e.Addresses, append([]string{
		"serve", "--id", id, "--zone", zoneName, "--region", "region-" + zoneName,
		"--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0",
		"--platform", e.platform.Address(), "--drain-timeout", "20s",
	}, args...)...)
	d.entries[id] = e
	DeferCleanup(e.reportCounters)
	return e
}

// reportCounters adds the counters of the instance to the report of a failed spec.
func (e *entryProcess) reportCounters() {
	if !CurrentSpecReport().Failed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	counters, err := e.control().Counters(ctx)
	AddReportEntry("counters of "+string(e.ID), fmt.Sprint(counters, err))
}

// startWorker starts a worker with 4 processors and 8 GB in a zone.
func (d *deployment) startWorker(id, zoneName string, args ...string) *workerProcess {
	GinkgoHelper()
	w := &workerProcess{id: id, journal: filepath.Join(d.directory, id+".jsonl")}
	w.proxy = newProxy("")
	var ready httpserver.Ready
	w.process = start(&ready, append([]string{
		"standin", "worker", "--id", id, "--zone", zoneName, "--region", "region-" + zoneName,
		"--rack", "rack-" + zoneName, "--processors", "4000", "--memory", "8000000000",
		"--platform", d.platformAddress, "--announce-address", w.proxy.Address(), "--journal-file", w.journal,
	}, args...)...)
	w.address = ready.Address
	w.proxy.SetTarget(ready.Address)
	d.workers[id] = w
	return w
}

// executorReservation is the capacity that each executor of the tests reserves on its host.
var executorReservation = resource.Vector{Processors: 1000, Memory: 1e9}

// startExecutor starts an executor of the desk service on a worker of the zone.
func (d *deployment) startExecutor(id, zoneName, host string) *executorProcess {
	GinkgoHelper()
	e := &executorProcess{id: id, host: host, journal: filepath.Join(d.directory, id+".jsonl"), proxy: newProxy("")}
	var ready httpserver.Ready
	e.process = start(&ready, "standin", "executor", "--id", id, "--zone", zoneName, "--region", "region-"+zoneName,
		"--host", host, "--service", "desk", "--slots", "8", "--connections", "64", "--processors", "1000", "--memory", "1000000000",
		"--platform", d.platformAddress, "--announce-address", e.proxy.Address(), "--journal-file", e.journal)
	e.address = ready.Address
	e.proxy.SetTarget(ready.Address)
	d.executors[id] = e
	return e
}

// entry returns the running entry instance with the given id.
func (d *deployment) entry(id string) *entryProcess {
	GinkgoHelper()
	Expect(d.entries).To(HaveKey(id))
	return d.entries[id]
}

// control returns a client for the operator API of the instance.
func (e *entryProcess) control() control.Client {
	return control.Client{Address: e.Operator}
}

// testManifest declares the zones, the service, the job classes and the team of the tests.
func testManifest() manifest.Manifest {
	return manifest.Manifest{
		Zones: []manifest.Zone{
			{Name: zoneA, Region: "region-zone-a"},
			{Name: zoneB, Region: "region-zone-b"},
		},
		Services: []manifest.Service{{
			Name: "desk", Target: manifest.Duration(100 * time.Millisecond), MaxDuration: manifest.Duration(2 * time.Second),
			FirstByteTimeout: manifest.Duration(time.Second), IdleTimeout: manifest.Duration(time.Second),
			MaxFeedDuration: manifest.Duration(time.Minute), RetryShare: 100, HedgePercentile: 99, ErrorBudget: 10, MaxBody: 1 << 20,
		}},
		Classes: []manifest.Class{{
			Name: "build", Team: "rotas", Resources: resource.Vector{Processors: 1000, Memory: 1e9},
			ExpectedDuration: manifest.Duration(time.Second), Checkpointable: true, MaxAttempts: 3,
		}, {
			Name: "train", Team: "rotas", Resources: resource.Vector{Processors: 500, Memory: 5e8, Accelerators: 1},
			ExpectedDuration: manifest.Duration(time.Second), MaxAttempts: 3,
		}},
		Teams: []manifest.Team{{
			Name: "rotas", Quota: resource.Vector{Processors: 1e6, Memory: 1e12, Accelerators: 1e3},
			UrgentQuota: resource.Vector{Processors: 1e6, Memory: 1e12, Accelerators: 1e3}, Weight: 1,
		}},
		Limits: manifest.Limits{
			ShardsPerZone: 1, MaxQueuedJobs: 1000, MaxTasksPerJob: 1000, MaxPayload: 64 << 10, MaxResult: 64 << 10,
			ReturnRamp: manifest.Duration(2 * time.Second),
		},
	}
}

// publish publishes the test manifest through an instance and waits until all instances use it.
func (d *deployment) publish(entry *entryProcess) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
		defer cancel()
		current, err := entry.control().Manifest(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		published, err := entry.control().Publish(ctx, testManifest(), current.Version, "test", configTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(published.Missing).To(BeEmpty())
	}).WithTimeout(readyTimeout).Should(Succeed())
}

// expectReady waits until the readiness endpoint of the instance reports that it is ready.
func (e *entryProcess) expectReady() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		response, err := http.Get("http://" + e.Caller + "/ready")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
	}).WithTimeout(readyTimeout).Should(Succeed())
}

// expectOwner waits until an instance of the zone owns the shard of the zone, and returns the
// instance.
func (d *deployment) expectOwner(zoneName string, timeout time.Duration) *entryProcess {
	GinkgoHelper()
	var owner *entryProcess
	Eventually(func(g Gomega) {
		for _, e := range d.entries {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			status, err := e.control().Status(ctx)
			cancel()
			if err != nil || string(status.Zone) != zoneName {
				continue
			}
			for _, shard := range status.Shards {
				if shard.State == "Owned" {
					owner = e
				}
			}
		}
		g.Expect(owner).NotTo(BeNil(), "no instance of %s owns its shard", zoneName)
	}).WithTimeout(timeout).Should(Succeed())
	return owner
}

// payload tells the simulated worker what to simulate for a task.
type payload struct {
	Work     time.Duration
	Observed resource.Vector
	Result   string
}

// submit submits a job of the class build. The instance must accept it at the first attempt.
func (e *entryProcess) submit(key string, tasks int, p payload) {
	GinkgoHelper()
	raw, err := json.Marshal(p)
	Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(job.Spec{Class: "build", Priority: job.Normal, Tasks: tasks, Payload: raw})
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+e.Caller+"/jobs/rotas/"+key, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusCreated), string(text))
}

// expectState waits until a job is in the state and returns the answer that shows it.
func (e *entryProcess) expectState(key string, state job.State, timeout time.Duration) job.Answer {
	GinkgoHelper()
	var answer job.Answer
	Eventually(func(g Gomega) {
		response, err := http.Get("http://" + e.Caller + "/jobs/rotas/" + key)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		answer = job.Answer{}
		g.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
		g.Expect(answer.State).To(Equal(state), "%+v", answer)
	}).WithTimeout(timeout).Should(Succeed())
	return answer
}

// expectSucceeded waits until a job has succeeded and checks that each task has exactly one
// result.
func (e *entryProcess) expectSucceeded(key string, tasks int, timeout time.Duration) {
	GinkgoHelper()
	answer := e.expectState(key, job.Succeeded, timeout)
	seen := map[int]int{}
	for _, result := range answer.Results {
		seen[result.Index]++
	}
	Expect(seen).To(HaveLen(tasks))
	for index, count := range seen {
		Expect(count).To(Equal(1), "task %d has %d results", index, count)
	}
}

// setFaults replaces the faults that the platform injects.
func (d *deployment) setFaults(faults platform.Faults) {
	GinkgoHelper()
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+d.platformAddress+"/faults", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// setZone takes a zone out of service or returns it to service.
func (e *entryProcess) setZone(name string, to zone.Service) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := e.control().SetZone(ctx, membership.Zone(name), to, "test")
	Expect(err).NotTo(HaveOccurred())
}

// readJournal returns the entries of a journal file. The file is still complete after its
// process was killed, except for the last line.
func readJournal[T any](file string) []T {
	GinkgoHelper()
	content, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	var events []T
	for line := range strings.Lines(string(content)) {
		var event T
		if err := json.Unmarshal([]byte(line), &event); err != nil {
			// The process was killed while it wrote the last line.
			continue
		}
		events = append(events, event)
	}
	return events
}

// events returns the journal entries of the worker.
func (w *workerProcess) events() []worker.Event {
	GinkgoHelper()
	return readJournal[worker.Event](w.journal)
}

func (d *deployment) String() string {
	return fmt.Sprintf("platform %s, %d entry instances, %d workers", d.platformAddress, len(d.entries), len(d.workers))
}
