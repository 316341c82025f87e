package proof

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/claim"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// keySource creates an idempotency key for a request.
type keySource func(d *deployment) string

// callerMadeKey returns a key that the caller generates itself.
func callerMadeKey(*deployment) string {
	return "made-" + uuid.NewString()
}

// ticketFrom returns a source of tickets that the given entry instance issues.
func ticketFrom(home string) keySource {
	return func(d *deployment) string { return d.entry(home).fetchTicket(Default) }
}

// keySources are the kinds of keys that a request through entry-1 can have.
var keySources = []struct {
	name string
	make keySource
}{
	{"a caller-made key", callerMadeKey},
	{"a ticket of the same instance", ticketFrom("entry-1")},
	{"a ticket of another instance", ticketFrom("entry-2")},
}

// repeatKeyOnAllEntries sends three requests with the same key through every instance, all
// concurrently, like callers that retry after they received no response.
func (d *deployment) repeatKeyOnAllEntries(key string) []reply {
	var entries []*entryProcess
	for _, e := range d.entries {
		entries = append(entries, e, e, e)
	}
	return runConcurrently(len(entries), func(i int) reply {
		return entries[i].sendRequest(context.Background(), callerRequest{key: key, size: 100, seed: key})
	})
}

// runInBackground makes a call in the background and returns a channel with its reply.
func runInBackground(call func() reply) <-chan reply {
	replies := make(chan reply, 1)
	var group sync.WaitGroup
	group.Go(func() { replies <- call() })
	DeferCleanup(group.Wait)
	return replies
}

// sendInBackground sends a request through an instance in the background.
func (d *deployment) sendInBackground(id string, request callerRequest) <-chan reply {
	e := d.entry(id)
	return runInBackground(func() reply { return e.sendRequest(context.Background(), request) })
}

// awaitReply waits for a reply up to the maximum duration of a request.
func awaitReply(replies <-chan reply) reply {
	GinkgoHelper()
	var r reply
	Eventually(replies).WithTimeout(deskMaxDuration + responseSlack).Should(Receive(&r))
	return r
}

var _ = Describe("A non-idempotent request", Label("at-most-once"), func() {
	// forEachKeySource runs sendWithKey for each kind of key on the same deployment.
	forEachKeySource := func(d *deployment, sendWithKey func(key string) []reply) {
		GinkgoHelper()
		var replies []reply
		for _, source := range keySources {
			By(source.name)
			key := source.make(d)
			replies = append(replies, sendWithKey(key)...)
			d.setExecutorProxyFaults(proxy.Faults{})
			replies = append(replies, d.repeatKeyOnAllEntries(key)...)
		}
		d.stopTraffic()
		d.expectAtMostOnce(replies...)
		d.expectOutcomesMatchJournals(replies...)
		expectRetryAfter(replies...)
	}

	// Guards against a second run when a caller repeats a request that succeeded, also after the
	// connection to the executor was lost.
	It("runs once when its key is repeated through every instance", func() {
		d := startDeskZone(2)
		forEachKeySource(d, func(key string) []reply {
			replies := d.repeatKeyOnAllEntries(key)
			completed := 0
			for _, r := range replies {
				if r.complete() {
					completed++
				}
			}
			Expect(completed).To(Equal(1), "%v", replies)
			d.cutExecutorConnections()
			return replies
		})
	})

	// Guards against running a key twice by a retry after a connection was refused.
	It("runs at most once when connections to executors are refused", func() {
		d := startDeskZone(2)
		forEachKeySource(d, func(key string) []reply {
			d.setExecutorProxyFaults(proxy.Faults{Refuse: true})
			d.cutExecutorConnections()
			return []reply{awaitReply(d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key}))}
		})
	})

	// Guards against sending a request again after the executor received a part of its body.
	It("runs at most once when the connection is cut while the request is sent", func() {
		d := startDeskZone(2)
		forEachKeySource(d, func(key string) []reply {
			d.setExecutorProxyFaults(proxy.Faults{ToServer: proxy.Flow{Rate: 200 << 10}})
			before := d.bytesToExecutors()
			pending := d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key, body: bytes.NewReader(make([]byte, 500<<10))})
			Eventually(d.bytesToExecutors).WithTimeout(deskMaxDuration).Should(BeNumerically(">", before+10<<10))
			d.cutExecutorConnections()
			r := awaitReply(pending)
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
			return []reply{r}
		})
	})

	// Guards against a retry on another executor although the first one may have run the
	// request.
	It("runs at most once when the connection is cut before the response", func() {
		d := startDeskZone(2)
		forEachKeySource(d, func(key string) []reply {
			pending := d.sendInBackground("entry-1", callerRequest{key: key, work: 300 * time.Millisecond, size: 100, seed: key})
			d.expectKeyRunning(key)
			d.cutExecutorConnections()
			r := awaitReply(pending)
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
			return []reply{r}
		})
	})

	// Guards against a retry after a response that was cut off.
	It("runs at most once when the executor dies while it sends the response", func() {
		d := startDeskZone(2)
		for _, fault := range []string{"dieAfter=0", "dieAfter=50", "dieAfter=200000", "silentAfter=0"} {
			key := callerMadeKey(d)
			r := awaitReply(d.sendInBackground("entry-1", callerRequest{key: key, size: 300_000, seed: key, query: fault}))
			Expect(r.complete()).To(BeFalse(), "%s", r)
		}
		forEachKeySource(d, func(key string) []reply {
			return []reply{awaitReply(d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key, query: "dieAfter=50"}))}
		})
	})

	// Guards against claims that are lost with the instance that made them.
	DescribeTable("runs at most once when the entry instance is killed while the request runs",
		func(source keySource, restart bool) {
			d := startDeskZone(2)
			key := source(d)
			pending := d.sendInBackground("entry-1", callerRequest{key: key, work: 300 * time.Millisecond, size: 100, seed: key})
			d.expectKeyRunning(key)
			d.entry("entry-1").kill()
			replies := []reply{awaitReply(pending)}
			if restart {
				d.startEntry("entry-1", zoneA)
				d.entry("entry-1").expectReady()
			} else {
				delete(d.entries, "entry-1")
			}
			replies = append(replies, d.repeatKeyOnAllEntries(key)...)
			d.stopTraffic()
			Expect(d.countRunsWithKey(key)).To(Equal(1))
			d.expectAtMostOnce(replies...)
			d.expectOutcomesMatchJournals(replies...)
		},
		Entry("with a caller-made key", keySource(callerMadeKey), false),
		Entry("with a ticket of the killed instance", ticketFrom("entry-1"), false),
		Entry("with a ticket of the other instance", ticketFrom("entry-2"), false),
		Entry("with a ticket of the killed instance, which is restarted", ticketFrom("entry-1"), true),
	)

	// Guards against a claim that is granted after its request gave up, and against a claim that
	// is granted by another instance than the one that issued the ticket.
	It("runs at most once when the issuer of its ticket is frozen and thawed", func() {
		d := startDeskZone(2)
		key := d.entry("entry-2").fetchTicket(Default)
		d.entry("entry-2").freeze()
		d.entry("entry-2").expectFrozen()
		first := awaitReply(d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key}))
		Expect(first.outcome).To(Equal(service.Unknown), "%s", first)
		Expect(first.duration).To(BeNumerically("<", deskFirstByteTimeout+responseSlack), "%s", first)
		pendingSecond := d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key})
		d.entry("entry-2").thaw()
		replies := append(d.repeatKeyOnAllEntries(key), first, awaitReply(pendingSecond))
		d.stopTraffic()
		d.expectAtMostOnce(replies...)
		d.expectOutcomesMatchJournals(replies...)
		expectRetryAfter(replies...)
	})

	// Guards against granting a claim without the instance that issued the ticket, since the
	// record of earlier claims was lost with that instance.
	It("does not run when the issuer of its ticket is killed", func() {
		d := startDeskZone(2)
		usedTicket, unusedTicket := d.entry("entry-2").fetchTicket(Default), d.entry("entry-2").fetchTicket(Default)
		usedReply := awaitReply(d.sendInBackground("entry-1", callerRequest{key: usedTicket, size: 100, seed: usedTicket}))
		Expect(usedReply.complete()).To(BeTrue(), "%s", usedReply)
		d.entry("entry-2").kill()
		delete(d.entries, "entry-2")
		replies := append(d.repeatKeyOnAllEntries(usedTicket), d.repeatKeyOnAllEntries(unusedTicket)...)
		for _, r := range replies {
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
		}
		d.stopTraffic()
		d.expectAtMostOnce(append(replies, usedReply)...)
		Expect(d.countRunsWithKey(unusedTicket)).To(BeZero())
	})

	// Guards against treating a write as failed because its acknowledgement was lost: a repeated
	// request would run a second time.
	It("runs once with a caller-made key when the store's acknowledgements are lost", func() {
		d := startDeskZone(2)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		var replies []reply
		for range 5 {
			key := callerMadeKey(d)
			replies = append(replies, d.repeatKeyOnAllEntries(key)...)
			Expect(d.countRunsWithKey(key)).To(Equal(1))
		}
		d.setFaults(platform.Faults{})
		d.stopTraffic()
		d.expectAtMostOnce(replies...)
		d.expectOutcomesMatchJournals(replies...)
	})

	// Guards against a start record that is committed after its request gave up.
	It("runs at most once with a caller-made key when the store responds after the commit timeout", func() {
		d := startDeskZone(2)
		key := callerMadeKey(d)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: 3 * time.Second}})
		replies := d.repeatKeyOnAllEntries(key)
		d.setFaults(platform.Faults{})
		replies = append(replies, d.repeatKeyOnAllEntries(key)...)
		d.stopTraffic()
		d.expectAtMostOnce(replies...)
		d.expectOutcomesMatchJournals(replies...)
		expectRetryAfter(replies...)
	})

	// Guards against claims that queue behind one another while the store does not respond, and
	// hold executor slots during that time.
	It("gives up within the commit and resolve timeouts with a caller-made key when the store does not respond", func() {
		d := startDeskZone(2)
		d.publishDeskSettings(setLongMaxDuration)
		e := d.entry("entry-1")
		Expect(e.platform.SetFaults(proxy.Faults{ToClient: proxy.Flow{Silence: true}})).To(Succeed())
		requests := make([]callerRequest, 6)
		for i := range requests {
			requests[i] = callerRequest{key: callerMadeKey(d), size: 100, seed: "silent"}
		}
		first := d.sendInBackground("entry-1", requests[0])
		toStore, _ := e.platform.Bytes()
		Eventually(func() int64 { n, _ := e.platform.Bytes(); return n }).WithTimeout(claim.CommitTimeout).Should(BeNumerically(">", toStore))
		replies := runConcurrently(len(requests)-1, func(i int) reply { return e.sendRequest(context.Background(), requests[i+1]) })
		var r reply
		Eventually(first).WithTimeout(claim.CommitTimeout + claim.ResolveTimeout + responseSlack).Should(Receive(&r))
		for _, r := range append(replies, r) {
			Expect(r.outcome).NotTo(Equal(service.Completed), "%s", r)
			Expect(r.duration).To(BeNumerically("<", claim.CommitTimeout+claim.ResolveTimeout+responseSlack), "%s", r)
		}
		d.stopTraffic()
		d.expectOutcomesMatchJournals(append(replies, r)...)
		d.expectAtMostOnce(append(replies, r)...)
	})

	// Guards against running a caller-made key without a start record.
	It("is refused with a caller-made key and runs once with a ticket during a store outage", func() {
		d := startDeskZone(2)
		callerKey, ticketKey := callerMadeKey(d), d.entry("entry-2").fetchTicket(Default)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Outage: true}})
		refused := d.repeatKeyOnAllEntries(callerKey)
		for _, r := range refused {
			Expect(r.outcome).To(Equal(service.NotRun), "%s", r)
		}
		Expect(d.countRunsWithKey(callerKey)).To(BeZero())
		replies := append(refused, d.repeatKeyOnAllEntries(ticketKey)...)
		Expect(d.countRunsWithKey(ticketKey)).To(Equal(1))
		d.setFaults(platform.Faults{})
		replies = append(replies, d.repeatKeyOnAllEntries(callerKey)...)
		Expect(d.countRunsWithKey(callerKey)).To(Equal(1))
		d.stopTraffic()
		d.expectAtMostOnce(replies...)
		d.expectOutcomesMatchJournals(replies...)
	})

	// Guards against combinations of faults that the other specs test only one at a time.
	DescribeTable("runs at most once for each of many keys under random faults",
		func(seed uint64) {
			random := rand.New(rand.NewPCG(seed, 0))
			AddReportEntry(fmt.Sprintf("seed %d", seed))
			d := startDeskZone(2)
			var keys []string
			for range 20 {
				keys = append(keys, callerMadeKey(d), ticketFrom("entry-1")(d), ticketFrom("entry-2")(d))
			}
			random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
			var replies []reply
			for wave := range 6 {
				fault := d.injectRandomFault(random)
				By(fmt.Sprintf("wave %d: %s", wave, fault))
				replies = append(replies, d.sendWave(random, keys[wave*10:wave*10+10])...)
				d.clearFaults()
			}
			for _, key := range keys {
				replies = append(replies, d.repeatKeyOnAllEntries(key)...)
			}
			d.stopTraffic()
			AddReportEntry("replies", fmt.Sprint(countByOutcome(replies)))
			d.expectAtMostOnce(replies...)
			d.expectOutcomesMatchJournals(replies...)
			expectRetryAfter(replies...)
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)
})
