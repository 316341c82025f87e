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

// outBound is the stated time after which nothing starts in a zone that was taken
// out of service.
const outBound = 3 * time.Second

// zoneChange is a change of a zone that the table accepted.
type zoneChange struct {
	at  time.Time
	out bool
}

// twoBatchZones starts two zones with two entry instances and two workers each.
func twoBatchZones() *deployment {
	GinkgoHelper()
	d := deploy()
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
	ctx, cancel := context.WithTimeout(context.Background(), startedBound)
	defer cancel()
	status, err := e.control().Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	return status.Zone
}

// changes returns the accepted changes of a zone, in order.
func (d *deployment) changes(name membership.Zone) []zoneChange {
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

// zoneWorkers are the workers of twoBatchZones in zone-a.
func (d *deployment) zoneWorkers() []*workerProcess {
	return []*workerProcess{d.workers["worker-1"], d.workers["worker-2"]}
}

// expectNoLateStarts checks that no task started in zone-a later than outBound after
// it was taken out and before it was brought back.
func (d *deployment) expectNoLateStarts() {
	GinkgoHelper()
	changes := d.changes(zoneA)
	Expect(changes).NotTo(BeEmpty())
	for i, change := range changes {
		if !change.out {
			continue
		}
		from, until := change.at.Add(outBound), time.Now()
		if i+1 < len(changes) {
			until = changes[i+1].at
		}
		for _, w := range d.zoneWorkers() {
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
		through.submitWork("backlog-"+strconv.Itoa(n), backlogTasks, shortWork)
	}
}

// backlog submits more short tasks than zone-a can finish before it is taken out, and
// waits until it has started some.
func (d *deployment) backlog(through *entryProcess) {
	GinkgoHelper()
	d.submitBacklog(through)
	d.workers["worker-1"].expectStarts(2, startedBound)
}

const (
	backlogJobs  = 4
	backlogTasks = 24
)

// expectBacklogDone waits until every job of the backlog has finished somewhere.
func (d *deployment) expectBacklogDone(through *entryProcess) {
	GinkgoHelper()
	for n := range backlogJobs {
		through.expectSucceeded("backlog-"+strconv.Itoa(n), backlogTasks, finishBound)
	}
}

// expectSinceOut waits until some time has passed since the zone was taken out.
func (d *deployment) expectSinceOut(passed time.Duration) {
	GinkgoHelper()
	changes := d.changes(zoneA)
	last := changes[len(changes)-1]
	Expect(last.out).To(BeTrue())
	Eventually(func() time.Duration { return time.Since(last.at) }).WithTimeout(2 * passed).
		Should(BeNumerically(">", passed))
}

// handedOn returns the jobs whose records left zone-a's shard before they were done.
func (d *deployment) handedOn() []protocol.JobID {
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

// expectMovedToB checks that zone-b ran jobs that zone-a had.
func (d *deployment) expectMovedToB() {
	GinkgoHelper()
	elsewhere := map[protocol.JobID]bool{}
	for _, w := range []string{"worker-3", "worker-4"} {
		for _, e := range d.workers[w].events() {
			if e.Kind == worker.EventStart {
				id, _, err := job.SplitTaskID(e.Task)
				Expect(err).NotTo(HaveOccurred())
				elsewhere[id] = true
			}
		}
	}
	moved := d.handedOn()
	Expect(moved).NotTo(BeEmpty(), "zone-a handed no job on")
	for _, id := range moved {
		Expect(elsewhere).To(HaveKey(id), "zone-b ran nothing of a job of zone-a")
	}
}

// ownerOfA returns the owner of zone-a's shard.
func (d *deployment) ownerOfA() *entryProcess {
	GinkgoHelper()
	return d.expectOwner(zoneA, takeoverBound)
}

var _ = Describe("No task starts in a zone that was taken out", Label("zone-out"), func() {
	// Guards against an owner that never hears that its zone was taken out.
	It("while the zone's entry instances are cut from the platform", func() {
		d := twoBatchZones()
		d.backlog(d.entry("entry-1"))
		d.entry("entry-1").cutPlatform()
		d.entry("entry-2").cutPlatform()
		d.entry("entry-3").setZone(zoneA, zone.Out)
		d.expectSinceOut(2 * outBound)
		d.entry("entry-1").healPlatform()
		d.entry("entry-2").healPlatform()
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectMovedToB()
	})

	// Guards against permits that count from the end of a slow read: the last answers
	// come late and no later read follows.
	It("while the store answers slowly and then no more", func() {
		d := twoBatchZones()
		d.backlog(d.entry("entry-1"))
		late := proxy.Flow{Delay: 1500 * time.Millisecond}
		d.setPlatformFaultsInA(proxy.Faults{ToClient: late})
		d.entry("entry-1").expectSlowReads()
		d.setPlatformFaultsInA(proxy.Faults{ToClient: late, ToServer: proxy.Flow{Silence: true}})
		d.entry("entry-3").setZone(zoneA, zone.Out)
		d.expectSinceOut(2 * outBound)
		d.setPlatformFaultsInA(proxy.Faults{})
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectMovedToB()
	})

	// Guards against a change that is lost or reverted when operators race.
	It("while operators race out and in from two instances", func() {
		const seed = 41
		GinkgoWriter.Println("seed", seed)
		d := twoBatchZones()
		d.backlog(d.entry("entry-1"))
		var group sync.WaitGroup
		for n, id := range []string{"entry-1", "entry-3"} {
			group.Go(func() {
				defer GinkgoRecover()
				d.entries[id].raceZone(rand.New(rand.NewPCG(seed, uint64(n))))
			})
		}
		group.Wait()
		changes := d.changes(zoneA)
		Expect(len(changes)).To(BeNumerically(">", 1), "the operators never changed the zone")
		if !changes[len(changes)-1].out {
			d.entry("entry-3").setZone(zoneA, zone.Out)
		}
		d.expectSinceOut(2 * outBound)
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectMovedToB()
	})

	// Guards against a permit that is checked before a pause and used after it.
	It("when the owner is frozen with a permit in hand and thawed", func() {
		d := twoBatchZones()
		owner := d.ownerOfA()
		// Without a successor nobody else shuts the owner out.
		for _, id := range []string{"entry-1", "entry-2"} {
			if e := d.entry(id); e != owner {
				d.remove(e)
			}
		}
		d.backlog(owner)
		owner.freeze()
		d.entry("entry-3").setZone(zoneA, zone.Out)
		// The pause is shorter than the owner's authority, and without the platform the
		// owner can't learn of the change, so only the end of its permit stops it.
		d.expectSinceOut(outBound)
		owner.cutPlatform()
		owner.thaw()
		d.expectSinceOut(2 * outBound)
		owner.healPlatform()
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		d.expectMovedToB()
	})

	// Guards against a sync that left in time and starts tasks when it arrives late.
	It("when syncs with starts are held up in the network", func() {
		d := twoBatchZones()
		owner := d.ownerOfA()
		for _, w := range d.zoneWorkers() {
			w.setFaults(proxy.Faults{ToServer: proxy.Flow{Silence: true}})
		}
		d.submitBacklog(owner)
		owner.expectRunning(startedBound)
		d.entry("entry-3").setZone(zoneA, zone.Out)
		d.expectSinceOut(outBound)
		for _, w := range d.zoneWorkers() {
			w.setFaults(proxy.Faults{})
		}
		d.expectSinceOut(2 * outBound)
		d.expectBacklogDone(d.entry("entry-3"))
		d.expectNoLateStarts()
		refused := 0
		for _, w := range d.zoneWorkers() {
			refused += countEvents(w.events(), worker.EventRefusal)
		}
		Expect(refused).To(BeNumerically(">", 0), "no sync that was held up arrived")
	})
})

// setPlatformFaultsInA sets the faults between zone-a's entry instances and the
// platform.
func (d *deployment) setPlatformFaultsInA(faults proxy.Faults) {
	GinkgoHelper()
	for _, id := range []string{"entry-1", "entry-2"} {
		Expect(d.entry(id).platform.SetFaults(faults)).To(Succeed())
	}
}

// expectSlowReads waits until the instance has received answers under a delay.
func (e *entryProcess) expectSlowReads() {
	GinkgoHelper()
	_, before := e.platform.Bytes()
	Eventually(func() int64 {
		_, now := e.platform.Bytes()
		return now
	}).WithTimeout(startedBound).Should(BeNumerically(">", before))
}

// expectRunning waits until the instance's shard counts tasks as running.
func (e *entryProcess) expectRunning(bound time.Duration) {
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

// raceZone changes zone-a back and forth. Changes that lose a race are expected.
func (e *entryProcess) raceZone(random *rand.Rand) {
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
