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

// keySource makes a key for a request.
type keySource func(d *deployment) string

// callerMadeKey is a key that the caller makes itself.
func callerMadeKey(*deployment) string {
	return "made-" + uuid.NewString()
}

// ticketFrom returns the kind of tickets that an entry instance issues.
func ticketFrom(home string) keySource {
	return func(d *deployment) string { return d.entry(home).fetchTicket(Default) }
}

// keySources are the kinds of keys, seen from a request through entry-1.
var keySources = []struct {
	name string
	make keySource
}{
	{"a caller-made key", callerMadeKey},
	{"a ticket of the same instance", ticketFrom("entry-1")},
	{"a ticket of another instance", ticketFrom("entry-2")},
}

// repeatKeyOnAllEntries sends requests with a key through every instance at once, three times
// each, as callers do that got no answer.
func (d *deployment) repeatKeyOnAllEntries(key string) []reply {
	var entries []*entryProcess
	for _, e := range d.entries {
		entries = append(entries, e, e, e)
	}
	return runConcurrently(len(entries), func(i int) reply {
		return entries[i].sendRequest(context.Background(), callerRequest{key: key, size: 100, seed: key})
	})
}

// runInBackground runs a call beside the spec and returns its reply on a channel.
func runInBackground(call func() reply) <-chan reply {
	replies := make(chan reply, 1)
	var group sync.WaitGroup
	group.Go(func() { replies <- call() })
	DeferCleanup(group.Wait)
	return replies
}

// sendInBackground sends a request with a key sendInBackground an instance beside the spec.
func (d *deployment) sendInBackground(id string, request callerRequest) <-chan reply {
	e := d.entry(id)
	return runInBackground(func() reply { return e.sendRequest(context.Background(), request) })
}

// awaitReply waits for a reply within the longest request.
func awaitReply(replies <-chan reply) reply {
	GinkgoHelper()
	var r reply
	Eventually(replies).WithTimeout(deskMaxDuration + responseSlack).Should(Receive(&r))
	return r
}

var _ = Describe("Requests that run at most once", Label("at-most-once"), func() {
	// Each kind of key is tried in each spec on one deployment.
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

	// Guards against a second run when a caller repeats a request that succeeded, also
	// after the connection to the executor was lost.
	It("runs a key once when it is repeated through every instance", func() {
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

	// Guards against a second sending after a connection that can't be opened.
	It("runs a key at most once when connections are refused before the request", func() {
		d := startDeskZone(2)
		forEachKeySource(d, func(key string) []reply {
			d.setExecutorProxyFaults(proxy.Faults{Refuse: true})
			d.cutExecutorConnections()
			return []reply{awaitReply(d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key}))}
		})
	})

	// Guards against a second sending after a body that arrived in part.
	It("runs a key at most once when the connection is cut within the request", func() {
		d := startDeskZone(2)
		forEachKeySource(d, func(key string) []reply {
			d.setExecutorProxyFaults(proxy.Faults{ToServer: proxy.Flow{Rate: 200 << 10}})
			before := d.bytesToExecutors()
			sent := d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key, body: bytes.NewReader(make([]byte, 500<<10))})
			Eventually(d.bytesToExecutors).WithTimeout(deskMaxDuration).Should(BeNumerically(">", before+10<<10))
			d.cutExecutorConnections()
			r := awaitReply(sent)
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
			return []reply{r}
		})
	})

	// Guards against a retry on another executor after the first may have run.
	It("runs a key at most once when the connection is cut before the answer", func() {
		d := startDeskZone(2)
		forEachKeySource(d, func(key string) []reply {
			sent := d.sendInBackground("entry-1", callerRequest{key: key, work: 300 * time.Millisecond, size: 100, seed: key})
			d.expectKeyRunning(key)
			d.cutExecutorConnections()
			r := awaitReply(sent)
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
			return []reply{r}
		})
	})

	// Guards against a retry after an answer that ended early.
	It("runs a key at most once when the executor dies within the answer", func() {
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

	// Guards against claims that die with the instance that made them.
	DescribeTable("runs a key at most once when the instance is killed while the request runs",
		func(source keySource, restart bool) {
			d := startDeskZone(2)
			key := source(d)
			sent := d.sendInBackground("entry-1", callerRequest{key: key, work: 300 * time.Millisecond, size: 100, seed: key})
			d.expectKeyRunning(key)
			d.entry("entry-1").kill()
			replies := []reply{awaitReply(sent)}
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
		Entry("with a ticket of an instance that is started again", ticketFrom("entry-1"), true),
	)

	// Guards against a claim that is granted after its request was given up, and against
	// a grant by anyone but the home.
	It("runs a ticket at most once when its home is frozen and thawed", func() {
		d := startDeskZone(2)
		key := d.entry("entry-2").fetchTicket(Default)
		d.entry("entry-2").freeze()
		d.entry("entry-2").expectFrozen()
		first := awaitReply(d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key}))
		Expect(first.outcome).To(Equal(service.Unknown), "%s", first)
		Expect(first.took).To(BeNumerically("<", deskFirstByteTimeout+responseSlack), "%s", first)
		second := d.sendInBackground("entry-1", callerRequest{key: key, size: 100, seed: key})
		d.entry("entry-2").thaw()
		replies := append(d.repeatKeyOnAllEntries(key), first, awaitReply(second))
		d.stopTraffic()
		d.expectAtMostOnce(replies...)
		d.expectOutcomesMatchJournals(replies...)
		expectRetryAfter(replies...)
	})

	// Guards against a grant without the home, whose claims died with it.
	It("doesn't run a ticket when its home is killed", func() {
		d := startDeskZone(2)
		usedTicket, unusedTicket := d.entry("entry-2").fetchTicket(Default), d.entry("entry-2").fetchTicket(Default)
		ran := awaitReply(d.sendInBackground("entry-1", callerRequest{key: usedTicket, size: 100, seed: usedTicket}))
		Expect(ran.complete()).To(BeTrue(), "%s", ran)
		d.entry("entry-2").kill()
		delete(d.entries, "entry-2")
		replies := append(d.repeatKeyOnAllEntries(usedTicket), d.repeatKeyOnAllEntries(unusedTicket)...)
		for _, r := range replies {
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
		}
		d.stopTraffic()
		d.expectAtMostOnce(append(replies, ran)...)
		Expect(d.countRunsWithKey(unusedTicket)).To(BeZero())
	})

	// Guards against taking a lost acknowledgement for a failed write, after which a
	// repetition would run a second time.
	It("runs a caller-made key once when the store's acknowledgements are lost", func() {
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

	// Guards against a start record that takes effect after its request was given up.
	It("runs a caller-made key at most once when the store answers after the commit's bound", func() {
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

	// Guards against claims that wait behind one another for a store that answers nothing,
	// and hold slots meanwhile.
	It("gives up caller-made keys within the bounds of a commit when the store is silent", func() {
		d := startDeskZone(2)
		d.publishDeskSettings(setLongMaxDuration)
		e := d.entry("entry-1")
		Expect(e.platform.SetFaults(proxy.Faults{ToClient: proxy.Flow{Silence: true}})).To(Succeed())
		asks := make([]callerRequest, 6)
		for i := range asks {
			asks[i] = callerRequest{key: callerMadeKey(d), size: 100, seed: "silent"}
		}
		first := d.sendInBackground("entry-1", asks[0])
		toStore, _ := e.platform.Bytes()
		Eventually(func() int64 { n, _ := e.platform.Bytes(); return n }).WithTimeout(claim.CommitTimeout).Should(BeNumerically(">", toStore))
		replies := runConcurrently(len(asks)-1, func(i int) reply { return e.sendRequest(context.Background(), asks[i+1]) })
		var r reply
		Eventually(first).WithTimeout(claim.CommitTimeout + claim.ResolveTimeout + responseSlack).Should(Receive(&r))
		for _, r := range append(replies, r) {
			Expect(r.outcome).NotTo(Equal(service.Completed), "%s", r)
			Expect(r.took).To(BeNumerically("<", claim.CommitTimeout+claim.ResolveTimeout+responseSlack), "%s", r)
		}
		d.stopTraffic()
		d.expectOutcomesMatchJournals(append(replies, r)...)
		d.expectAtMostOnce(append(replies, r)...)
	})

	// Guards against a run without a start record.
	It("refuses a caller-made key and runs a ticket once in a store outage", func() {
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

	// Guards against faults that each rule survives alone but not together.
	DescribeTable("runs each of many keys at most once under random faults",
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
