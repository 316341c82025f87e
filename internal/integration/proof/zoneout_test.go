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

// zoneOutLimit is the documented time after which no task starts in a zone that was taken out of
// service.
const zoneOutLimit = 3 * time.Second

// zoneChange is a committed change of the service state of a zone.
type zoneChange struct {
	committedAt time.Time
	out         bool
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

// zone returns the zone of the entry instance.
func (e *entryProcess) zone() membership.Zone {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), taskStartTimeout)
	defer cancel()
	status, err := e.control().Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	return status.Zone
}

// zoneChanges returns the committed changes of a zone, in order.
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
			changes = append(changes, zoneChange{committedAt: entry.Time, out: status.OutOfService()})
		}
	}
	return changes
}

// workersInZoneA returns the workers of startTwoBatchZones in zone-a.
func (d *deployment) workersInZoneA() []*workerProcess {
	return []*workerProcess{d.workers["worker-1"], d.workers["worker-2"]}
}

// expectNoLateStarts checks that no task started in zone-a from zoneOutLimit after the zone was
// taken out of service until it was returned to service.
func (d *deployment) expectNoLateStarts() {
	GinkgoHelper()
	changes := d.zoneChanges(zoneA)
	Expect(changes).NotTo(BeEmpty())
	for i, change := range changes {
		if !change.out {
			continue
		}
		from, until := change.committedAt.Add(zoneOutLimit), time.Now()
		if i+1 < len(changes) {
			until = changes[i+1].committedAt
		}
		for _, w := range d.workersInZoneA() {
			for _, e := range w.events() {
				if e.Kind == worker.EventStart {
					Expect(e.Time.After(from) && e.Time.Before(until)).To(BeFalse(),
						"%s started a task %v after the zone was taken out of service", w.id, e.Time.Sub(change.committedAt))
				}
			}
		}
	}
}

// submitBacklog submits the jobs of the backlog.
func (d *deployment) submitBacklog(entry *entryProcess) {
	GinkgoHelper()
	for n := range backlogJobs {
		entry.submitWithRetry("backlog-"+strconv.Itoa(n), backlogTasks, shortTask)
	}
}

// startBacklog submits more short tasks than zone-a can finish before it is taken out of
// service, and waits until some have started.
func (d *deployment) startBacklog(entry *entryProcess) {
	GinkgoHelper()
	d.submitBacklog(entry)
	d.workers["worker-1"].expectStarts(2, taskStartTimeout)
}

const (
	backlogJobs  = 4
	backlogTasks = 24
)

// expectBacklogDone waits until every job of the backlog has succeeded in either zone.
func (d *deployment) expectBacklogDone(entry *entryProcess) {
	GinkgoHelper()
	for n := range backlogJobs {
		entry.expectSucceeded("backlog-"+strconv.Itoa(n), backlogTasks, jobFinishTimeout)
	}
}

// waitSinceZoneOut waits until the given time has elapsed since the zone was taken out of
// service.
func (d *deployment) waitSinceZoneOut(elapsed time.Duration) {
	GinkgoHelper()
	changes := d.zoneChanges(zoneA)
	last := changes[len(changes)-1]
	Expect(last.out).To(BeTrue())
	Eventually(func() time.Duration { return time.Since(last.committedAt) }).WithTimeout(2 * elapsed).
		Should(BeNumerically(">", elapsed))
}

// jobsMovedFromZoneA returns the jobs whose records were deleted from the shard of zone-a, which
// happens when they move to another shard before they are done.
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

// expectJobsRunInZoneB checks that jobs moved from zone-a and that zone-b ran tasks of each.
func (d *deployment) expectJobsRunInZoneB() {
	GinkgoHelper()
	startedInZoneB := map[protocol.JobID]bool{}
	for _, w := range []string{"worker-3", "worker-4"} {
		for _, e := range d.workers[w].events() {
			if e.Kind == worker.EventStart {
				id, _, err := job.ParseTaskID(e.Task)
				Expect(err).NotTo(HaveOccurred())
				startedInZoneB[id] = true
			}
		}
	}
	movedJobs := d.jobsMovedFromZoneA()
	Expect(movedJobs).NotTo(BeEmpty(), "no job moved from zone-a")
	for _, id := range movedJobs {
		Expect(startedInZoneB).To(HaveKey(id), "zone-b ran no task of a job that moved from zone-a")
	}
}

// ownerOfZoneA returns the owner of the shard of zone-a.
func (d *deployment) ownerOfZoneA() *entryProcess {
	GinkgoHelper()
	return d.expectOwner(zoneA, takeoverTimeout)
}

var _ = Describe("A zone that was taken out of service", Label("zone-out"), func() {
	// Guards against an owner that doesn't learn that its zone was taken out of service.
	It("starts no task while its entry instances are disconnected from the platform", func() {
		d := startTwoBatchZones()
		d.startBacklog(d.entry("entry-1"))
		d.entry("entry-1").disconnectPlatform()
		d.entry("entry-2").disconnectPlatform()
		d.entry("entry-3").setZone(zoneA, zone.OutOfService)
		d.waitSinceZoneOut(2 * zoneOutLimit)
		d.entry("entry-1").reconnectPlatform()
		d.entry("entry-2").reconnectPlatform()
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against start permits whose term counts from the end of a slow read: the last
	// responses arrive late and no read succeeds after them.
	It("starts no task while the store responds slowly and then not at all", func() {
		d := startTwoBatchZones()
		d.startBacklog(d.entry("entry-1"))
		late := proxy.Flow{Delay: 1500 * time.Millisecond}
		d.setPlatformFaultsInZoneA(proxy.Faults{ToClient: late})
		d.entry("entry-1").expectDelayedAnswers()
		d.setPlatformFaultsInZoneA(proxy.Faults{ToClient: late, ToServer: proxy.Flow{Silence: true}})
		d.entry("entry-3").setZone(zoneA, zone.OutOfService)
		d.waitSinceZoneOut(2 * zoneOutLimit)
		d.setPlatformFaultsInZoneA(proxy.Faults{})
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against a change that is lost or reverted when operators change a zone
	// concurrently.
	It("starts no task after operators changed it concurrently through two instances", func() {
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
			d.entry("entry-3").setZone(zoneA, zone.OutOfService)
		}
		d.waitSinceZoneOut(2 * zoneOutLimit)
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against a start permit that is checked before a pause and used after it.
	It("starts no task when its owner is frozen while it holds a start permit and thawed", func() {
		d := startTwoBatchZones()
		owner := d.ownerOfZoneA()
		// Without a successor, no other instance supersedes the owner.
		for _, id := range []string{"entry-1", "entry-2"} {
			if e := d.entry(id); e != owner {
				d.killEntry(e)
			}
		}
		d.startBacklog(owner)
		owner.freeze()
		d.entry("entry-3").setZone(zoneA, zone.OutOfService)
		// The pause is shorter than the owner's authority, and without the platform the owner
		// can't learn of the change, so only the expiry of its start permit stops it.
		d.waitSinceZoneOut(zoneOutLimit)
		owner.disconnectPlatform()
		owner.thaw()
		d.waitSinceZoneOut(2 * zoneOutLimit)
		owner.reconnectPlatform()
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectJobsRunInZoneB()
	})

	// Guards against a sync that was sent in time and starts tasks when it arrives late.
	It("starts no task when syncs with task starts are delayed in the network", func() {
		d := startTwoBatchZones()
		owner := d.ownerOfZoneA()
		for _, w := range d.workersInZoneA() {
			w.setFaults(proxy.Faults{ToServer: proxy.Flow{Silence: true}})
		}
		d.submitBacklog(owner)
		owner.expectTasksRunning(taskStartTimeout)
		d.entry("entry-3").setZone(zoneA, zone.OutOfService)
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
		Expect(refused).To(BeNumerically(">", 0), "no delayed sync arrived")
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

// expectDelayedAnswers waits until the instance has received data from the platform while the
// delay is set.
func (e *entryProcess) expectDelayedAnswers() {
	GinkgoHelper()
	_, before := e.platform.Bytes()
	Eventually(func() int64 {
		_, now := e.platform.Bytes()
		return now
	}).WithTimeout(taskStartTimeout).Should(BeNumerically(">", before))
}

// expectTasksRunning waits until the status of the instance's shard reports running tasks.
func (e *entryProcess) expectTasksRunning(timeout time.Duration) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status, err := e.control().Status(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Shards).NotTo(BeEmpty())
		g.Expect(status.Shards[0].Running).To(BeNumerically(">", 0))
	}).WithTimeout(timeout).Should(Succeed())
}

// changeZoneRandomly takes zone-a out of service and returns it at random. Changes that conflict
// with those of another operator may fail.
func (e *entryProcess) changeZoneRandomly(random *rand.Rand) {
	for range 12 {
		to := zone.OutOfService
		if random.IntN(2) == 0 {
			to = zone.InService
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(2000))*time.Millisecond)
		_, _ = e.control().SetZone(ctx, zoneA, to, "racer")
		// Waiting for the rest of the random timeout separates the changes.
		<-ctx.Done()
		cancel()
	}
}
