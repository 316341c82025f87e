package proof

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// zoneOutLimit is the stated time after which nothing starts in a zone that was taken
// out of service.
const zoneOutLimit = 3 * time.Second

// zoneChange is a change of a zone that the table accepted.
type zoneChange struct {
	at  time.Time
	out bool
}

// startTwoBatchZones starts two zones with two entry instances and two workers each.
func startTwoBatchZones() *deployment {
	GinkgoHelper()
	d := startPlatform()
	for n, zoneName := range []string{zoneA, zoneA, zoneB, zoneB} {
		id := strconv.Itoa(n + 1)
		d.startEntry("entry-"+id, zoneName)
		d.startWorker("worker-"+id, zoneName)
	}
	d.publish(d.entry("entry-1"))
	for id, e := range d.entries {
		e.expectReady()
		d.expectMember(string(e.zone()), id)
	}
	return d
}

// zone returns the zone of an entry instance.
func (e *entryProcess) zone() membership.Zone {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), taskStartTimeout)
	defer cancel()
	status, err := e.control().Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	return status.Zone
}

// zoneChanges returns the accepted zoneChanges of a zone, in order.
func (d *deployment) zoneChanges(name membership.Zone) []zoneChange {
	GinkgoHelper()
	var changes []zoneChange
	for _, entry := range d.tableJournal() {
		for _, write := range entry.Transaction.Writes {
			if write.Key != zone.Key(name) {
				continue
			}
			var status zone.Status
			Expect(json.Unmarshal(write.Value, &status)).To(Succeed())
			changes = append(changes, zoneChange{at: entry.Time, out: status.IsOut()})
		}
	}
	return changes
}

// workersInZoneA are the workers of twoBatchZones in zone-a.
func (d *deployment) workersInZoneA() []*workerProcess {
	return []*workerProcess{d.workers["worker-1"], d.workers["worker-2"]}
}

// expectNoLateStarts checks that no task started in zone-a later than outBound after
// it was taken out and before it was brought back.
func (d *deployment) expectNoLateStarts() {
	GinkgoHelper()
	changes := d.zoneChanges(zoneA)
	Expect(changes).NotTo(BeEmpty())
	for i, change := range changes {
		if !change.out {
			continue
		}
		from, until := change.at.Add(zoneOutLimit), time.Now()
		if i+1 < len(changes) {
			until = changes[i+1].at
		}
		for _, w := range d.workersInZoneA() {
			for _, e := range w.events() {
				if e.Kind == worker.EventStart {
					Expect(e.Time.After(from) && e.Time.Before(until)).To(BeFalse(),
						"%s started a task %v after zone out", w.id, e.Time.Sub(change.at))
				}
			}
		}
	}
}

// submitBacklog submits the jobs of backlog.
func (d *deployment) submitBacklog(through *entryProcess) {
	GinkgoHelper()
	for n := range backlogJobs {
		through.submitWithRetry("backlog-"+strconv.Itoa(n), backlogTasks, shortTask)
	}
}

// startBacklog submits more short tasks than zone-a can finish before it is taken out, and
// waits until it has started some.
func (d *deployment) startBacklog(through *entryProcess) {
	GinkgoHelper()
	d.submitBacklog(through)
	d.workers["worker-1"].expectStarts(2, taskStartTimeout)
}

const (
	backlogJobs  = 4
	backlogTasks = 24
)

// expectBacklogDone waits until every job of the backlog has finished somewhere.
func (d *deployment) expectBacklogDone(through *entryProcess) {
	GinkgoHelper()
	for n := range backlogJobs {
		through.expectSucceeded("backlog-"+strconv.Itoa(n), backlogTasks, jobFinishTimeout)
	}
}

// waitSinceZoneOut waits until some time has passed since the zone was taken out.
func (d *deployment) waitSinceZoneOut(elapsed time.Duration) {
	GinkgoHelper()
	changes := d.zoneChanges(zoneA)
	last := changes[len(changes)-1]
	Expect(last.out).To(BeTrue())
	Eventually(func() time.Duration { return time.Since(last.at) }).WithTimeout(2 * elapsed).
		Should(BeNumerically(">", elapsed))
}

// jobsMovedFromZoneA returns the jobs whose records left zone-a's shard before they were done.
func (d *deployment) jobsMovedFromZoneA() []protocol.JobID {
	GinkgoHelper()
	prefix := string(job.RecordPrefix(protocol.ShardID{Zone: zoneA}))
	var ids []protocol.JobID
	for _, entry := range d.tableJournal() {
		for _, write := range entry.Transaction.Writes {
			if id, ok := strings.CutPrefix(string(write.Key), prefix); ok && write.Delete {
				ids = append(ids, protocol.JobID(id))
			}
		}
	}
	return ids
}

// expectJobsRunInZoneB checks that zone-b ran jobs that zone-a had.
func (d *deployment) expectJobsRunInZoneB() {
	GinkgoHelper()
	startedInZoneB := map[protocol.JobID]bool{}
	for _, w := range []string{"worker-3", "worker-4"} {
		for _, e := range d.workers[w].events() {
			if e.Kind == worker.EventStart {
				id, _, err := job.SplitTaskID(e.Task)
				Expect(err).NotTo(HaveOccurred())
				startedInZoneB[id] = true
			}
		}
	}
	movedJobs := d.jobsMovedFromZoneA()
	Expect(movedJobs).NotTo(BeEmpty(), "zone-a handed no job on")
	for _, id := range movedJobs {
		Expect(startedInZoneB).To(HaveKey(id), "zone-b ran nothing of a job of zone-a")
	}
}

// ownerOfZoneA returns the owner of zone-a's shard.
func (d *deployment) ownerOfZoneA() *entryProcess {
	GinkgoHelper()
	return d.expectOwner(zoneA, takeoverTimeout)
}

var _ = Describe("No task starts in a zone that was taken out", Label("zone-out"), func() {
	// Guards against an owner that never hears that its zone was taken out.
	It("while the zone's entry instances are cut from the platform", func() {
		d := startTwoBatchZones()
		d.startBacklog(d.entry("entry-1"))
		d.entry("entry-1").disconnectPlatform()
		d.entry("entry-2").disconnectPlatform()
		d.entry("entry-3").setZone(zoneA, zone.Out)
		d.waitSinceZoneOut(2 * zoneOutLimit)
		d.entry("entry-1").reconnectPlatform()
		d.entry("entry-2").reconnectPlatform()
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against permits that count from the end of a slow read: the last answers
	// come late and no later read follows.
	It("while the store answers slowly and then no more", func() {
		d := startTwoBatchZones()
		d.startBacklog(d.entry("entry-1"))
		late := proxy.Flow{Delay: 1500 * time.Millisecond}
		d.setPlatformFaultsInZoneA(proxy.Faults{ToClient: late})
		d.entry("entry-1").expectDelayedAnswers()
		d.setPlatformFaultsInZoneA(proxy.Faults{ToClient: late, ToServer: proxy.Flow{Silence: true}})
		d.entry("entry-3").setZone(zoneA, zone.Out)
		d.waitSinceZoneOut(2 * zoneOutLimit)
		d.setPlatformFaultsInZoneA(proxy.Faults{})
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against a change that is lost or reverted when operators race.
	It("while operators race out and in from two instances", func() {
		const seed = 41
		GinkgoWriter.Println("seed", seed)
		d := startTwoBatchZones()
		d.startBacklog(d.entry("entry-1"))
		var group sync.WaitGroup
		for n, id := range []string{"entry-1", "entry-3"} {
			group.Go(func() {
				defer GinkgoRecover()
				d.entries[id].changeZoneRandomly(rand.New(rand.NewPCG(seed, uint64(n))))
			})
		}
		group.Wait()
		changes := d.zoneChanges(zoneA)
		Expect(len(changes)).To(BeNumerically(">", 1), "the operators never changed the zone")
		if !changes[len(changes)-1].out {
			d.entry("entry-3").setZone(zoneA, zone.Out)
		}
		d.waitSinceZoneOut(2 * zoneOutLimit)
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against a permit that is checked before a pause and used after it.
	It("when the owner is frozen with a permit in hand and thawed", func() {
		d := startTwoBatchZones()
		owner := d.ownerOfZoneA()
		// Without a successor nobody else shuts the owner out.
		for _, id := range []string{"entry-1", "entry-2"} {
			if e := d.entry(id); e != owner {
				d.killEntry(e)
			}
		}
		d.startBacklog(owner)
		owner.freeze()
		d.entry("entry-3").setZone(zoneA, zone.Out)
		// The pause is shorter than the owner's authority, and without the platform the
		// owner can't learn of the change, so only the end of its permit stops it.
		d.waitSinceZoneOut(zoneOutLimit)
		owner.disconnectPlatform()
		owner.thaw()
		d.waitSinceZoneOut(2 * zoneOutLimit)
		owner.reconnectPlatform()
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against a sync that left in time and starts tasks when it arrives late.
	It("when syncs with starts are held up in the network", func() {
		d := startTwoBatchZones()
		owner := d.ownerOfZoneA()
		for _, w := range d.workersInZoneA() {
			w.setFaults(proxy.Faults{ToServer: proxy.Flow{Silence: true}})
		}
		d.submitBacklog(owner)
		owner.expectTasksRunning(taskStartTimeout)
		d.entry("entry-3").setZone(zoneA, zone.Out)
		d.waitSinceZoneOut(zoneOutLimit)
		for _, w := range d.workersInZoneA() {
			w.setFaults(proxy.Faults{})
		}
		d.waitSinceZoneOut(2 * zoneOutLimit)
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		refused := 0
		for _, w := range d.workersInZoneA() {
			refused += countEvents(w.events(), worker.EventRefusal)
		}
		Expect(refused).To(BeNumerically(">", 0), "no sync that was held up arrived")
	})
})

// setPlatformFaultsInZoneA sets the faults between zone-a's entry instances and the
// platform.
func (d *deployment) setPlatformFaultsInZoneA(faults proxy.Faults) {
	GinkgoHelper()
	for _, id := range []string{"entry-1", "entry-2"} {
		Expect(d.entry(id).platform.SetFaults(faults)).To(Succeed())
	}
}

// expectDelayedAnswers waits until the instance has received answers under a delay.
func (e *entryProcess) expectDelayedAnswers() {
	GinkgoHelper()
	_, before := e.platform.Bytes()
	Eventually(func() int64 {
		_, now := e.platform.Bytes()
		return now
	}).WithTimeout(taskStartTimeout).Should(BeNumerically(">", before))
}

// expectTasksRunning waits until the instance's shard counts tasks as running.
func (e *entryProcess) expectTasksRunning(bound time.Duration) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status, err := e.control().Status(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Shards).NotTo(BeEmpty())
		g.Expect(status.Shards[0].Running).To(BeNumerically(">", 0))
	}).WithTimeout(bound).Should(Succeed())
}

// changeZoneRandomly changes zone-a back and forth. Changes that lose a race are expected.
func (e *entryProcess) changeZoneRandomly(random *rand.Rand) {
	for range 12 {
		to := zone.Out
		if random.IntN(2) == 0 {
			to = zone.In
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(2000))*time.Millisecond)
		_, _ = e.control().SetZone(ctx, zoneA, to, "racer")
		// The rest of the random time separates the changes.
		<-ctx.Done()
		cancel()
	}
}
