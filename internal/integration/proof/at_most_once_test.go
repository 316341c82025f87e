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

// keyKind makes a key for a request.
type keyKind func(d *deployment) string

// callerMade is a key that the caller makes itself.
func callerMade(*deployment) string {
	return "made-" + uuid.NewString()
}

// ticketOf returns the kind of tickets that an entry instance issues.
func ticketOf(home string) keyKind {
	return func(d *deployment) string { return d.entry(home).ticket(Default) }
}

// keyKinds are the kinds of keys, seen from a request through entry-1.
var keyKinds = []struct {
	name string
	make keyKind
}{
	{"a caller-made key", callerMade},
	{"a ticket of the same instance", ticketOf("entry-1")},
	{"a ticket of another instance", ticketOf("entry-2")},
}

// repeatKey sends requests with a key through every instance at once, three times
// each, as callers do that got no answer.
func (d *deployment) repeatKey(key string) []reply {
	var entries []*entryProcess
	for _, e := range d.entries {
		entries = append(entries, e, e, e)
	}
	return together(len(entries), func(i int) reply {
		return entries[i].ask(context.Background(), ask{key: key, size: 100, seed: key})
	})
}

// later runs a call beside the spec and returns its reply on a channel.
func later(call func() reply) <-chan reply {
	replies := make(chan reply, 1)
	var group sync.WaitGroup
	group.Go(func() { replies <- call() })
	DeferCleanup(group.Wait)
	return replies
}

// through sends a request with a key through an instance beside the spec.
func (d *deployment) through(id string, a ask) <-chan reply {
	e := d.entry(id)
	return later(func() reply { return e.ask(context.Background(), a) })
}

// await waits for a reply within the longest request.
func await(replies <-chan reply) reply {
	GinkgoHelper()
	var r reply
	Eventually(replies).WithTimeout(deskMaxDuration + answerSlack).Should(Receive(&r))
	return r
}

var _ = Describe("Requests that run at most once", Label("at-most-once"), func() {
	// Each kind of key is tried in each spec on one deployment.
	eachKind := func(d *deployment, try func(key string) []reply) {
		GinkgoHelper()
		var replies []reply
		for _, kind := range keyKinds {
			By(kind.name)
			key := kind.make(d)
			replies = append(replies, try(key)...)
			d.setProxies(proxy.Faults{})
			replies = append(replies, d.repeatKey(key)...)
		}
		d.settle()
		d.expectAtMostOnce(replies...)
		d.expectTruth(replies...)
		expectRetryTimes(replies...)
	}

	// Guards against a second run when a caller repeats a request that succeeded, also
	// after the connection to the executor was lost.
	It("runs a key once when it is repeated through every instance", func() {
		d := desk(2)
		eachKind(d, func(key string) []reply {
			replies := d.repeatKey(key)
			completed := 0
			for _, r := range replies {
				if r.whole() {
					completed++
				}
			}
			Expect(completed).To(Equal(1), "%v", replies)
			d.cutAll()
			return replies
		})
	})

	// Guards against a second sending after a connection that can't be opened.
	It("runs a key at most once when connections are refused before the request", func() {
		d := desk(2)
		eachKind(d, func(key string) []reply {
			d.setProxies(proxy.Faults{Refuse: true})
			d.cutAll()
			return []reply{await(d.through("entry-1", ask{key: key, size: 100, seed: key}))}
		})
	})

	// Guards against a second sending after a body that arrived in part.
	It("runs a key at most once when the connection is cut within the request", func() {
		d := desk(2)
		eachKind(d, func(key string) []reply {
			d.setProxies(proxy.Faults{ToServer: proxy.Flow{Rate: 200 << 10}})
			before := d.bytesToExecutors()
			sent := d.through("entry-1", ask{key: key, size: 100, seed: key, body: bytes.NewReader(make([]byte, 500<<10))})
			Eventually(d.bytesToExecutors).WithTimeout(deskMaxDuration).Should(BeNumerically(">", before+10<<10))
			d.cutAll()
			r := await(sent)
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
			return []reply{r}
		})
	})

	// Guards against a retry on another executor after the first may have run.
	It("runs a key at most once when the connection is cut before the answer", func() {
		d := desk(2)
		eachKind(d, func(key string) []reply {
			sent := d.through("entry-1", ask{key: key, work: 300 * time.Millisecond, size: 100, seed: key})
			d.expectRunning(key)
			d.cutAll()
			r := await(sent)
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
			return []reply{r}
		})
	})

	// Guards against a retry after an answer that ended early.
	It("runs a key at most once when the executor dies within the answer", func() {
		d := desk(2)
		for _, at := range []string{"dieAfter=0", "dieAfter=50", "dieAfter=200000", "silentAfter=0"} {
			key := callerMade(d)
			r := await(d.through("entry-1", ask{key: key, size: 300_000, seed: key, query: at}))
			Expect(r.whole()).To(BeFalse(), "%s", r)
		}
		eachKind(d, func(key string) []reply {
			return []reply{await(d.through("entry-1", ask{key: key, size: 100, seed: key, query: "dieAfter=50"}))}
		})
	})

	// Guards against claims that die with the instance that made them.
	DescribeTable("runs a key at most once when the instance is killed while the request runs",
		func(kind keyKind, restart bool) {
			d := desk(2)
			key := kind(d)
			sent := d.through("entry-1", ask{key: key, work: 300 * time.Millisecond, size: 100, seed: key})
			d.expectRunning(key)
			d.entry("entry-1").kill()
			replies := []reply{await(sent)}
			if restart {
				d.startEntry("entry-1", zoneA)
				d.entry("entry-1").expectReady()
			} else {
				delete(d.entries, "entry-1")
			}
			replies = append(replies, d.repeatKey(key)...)
			d.settle()
			Expect(d.runsOf(key)).To(Equal(1))
			d.expectAtMostOnce(replies...)
			d.expectTruth(replies...)
		},
		Entry("with a caller-made key", keyKind(callerMade), false),
		Entry("with a ticket of the killed instance", ticketOf("entry-1"), false),
		Entry("with a ticket of the other instance", ticketOf("entry-2"), false),
		Entry("with a ticket of an instance that is started again", ticketOf("entry-1"), true),
	)

	// Guards against a claim that is granted after its request was given up, and against
	// a grant by anyone but the home.
	It("runs a ticket at most once when its home is frozen and thawed", func() {
		d := desk(2)
		key := d.entry("entry-2").ticket(Default)
		d.entry("entry-2").freeze()
		d.entry("entry-2").expectFrozen()
		first := await(d.through("entry-1", ask{key: key, size: 100, seed: key}))
		Expect(first.outcome).To(Equal(service.Unknown), "%s", first)
		Expect(first.took).To(BeNumerically("<", deskFirstByte+answerSlack), "%s", first)
		second := d.through("entry-1", ask{key: key, size: 100, seed: key})
		d.entry("entry-2").thaw()
		replies := append(d.repeatKey(key), first, await(second))
		d.settle()
		d.expectAtMostOnce(replies...)
		d.expectTruth(replies...)
		expectRetryTimes(replies...)
	})

	// Guards against a grant without the home, whose claims died with it.
	It("doesn't run a ticket when its home is killed", func() {
		d := desk(2)
		ticketed, fresh := d.entry("entry-2").ticket(Default), d.entry("entry-2").ticket(Default)
		ran := await(d.through("entry-1", ask{key: ticketed, size: 100, seed: ticketed}))
		Expect(ran.whole()).To(BeTrue(), "%s", ran)
		d.entry("entry-2").kill()
		delete(d.entries, "entry-2")
		replies := append(d.repeatKey(ticketed), d.repeatKey(fresh)...)
		for _, r := range replies {
			Expect(r.outcome).To(Equal(service.Unknown), "%s", r)
		}
		d.settle()
		d.expectAtMostOnce(append(replies, ran)...)
		Expect(d.runsOf(fresh)).To(BeZero())
	})

	// Guards against taking a lost acknowledgement for a failed write, after which a
	// repetition would run a second time.
	It("runs a caller-made key once when the store's acknowledgements are lost", func() {
		d := desk(2)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		var replies []reply
		for range 5 {
			key := callerMade(d)
			replies = append(replies, d.repeatKey(key)...)
			Expect(d.runsOf(key)).To(Equal(1))
		}
		d.setFaults(platform.Faults{})
		d.settle()
		d.expectAtMostOnce(replies...)
		d.expectTruth(replies...)
	})

	// Guards against a start record that takes effect after its request was given up.
	It("runs a caller-made key at most once when the store answers after the commit's bound", func() {
		d := desk(2)
		key := callerMade(d)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: 3 * time.Second}})
		replies := d.repeatKey(key)
		d.setFaults(platform.Faults{})
		replies = append(replies, d.repeatKey(key)...)
		d.settle()
		d.expectAtMostOnce(replies...)
		d.expectTruth(replies...)
		expectRetryTimes(replies...)
	})

	// Guards against claims that wait behind one another for a store that answers nothing,
	// and hold slots meanwhile.
	It("gives up caller-made keys within the bounds of a commit when the store is silent", func() {
		d := desk(2)
		d.publishDesk(patient)
		e := d.entry("entry-1")
		Expect(e.platform.SetFaults(proxy.Faults{ToClient: proxy.Flow{Silence: true}})).To(Succeed())
		asks := make([]ask, 6)
		for i := range asks {
			asks[i] = ask{key: callerMade(d), size: 100, seed: "silent"}
		}
		first := d.through("entry-1", asks[0])
		toStore, _ := e.platform.Bytes()
		Eventually(func() int64 { n, _ := e.platform.Bytes(); return n }).WithTimeout(claim.CommitTimeout).Should(BeNumerically(">", toStore))
		replies := together(len(asks)-1, func(i int) reply { return e.ask(context.Background(), asks[i+1]) })
		var r reply
		Eventually(first).WithTimeout(claim.CommitTimeout + claim.ResolveTimeout + answerSlack).Should(Receive(&r))
		for _, r := range append(replies, r) {
			Expect(r.outcome).NotTo(Equal(service.Completed), "%s", r)
			Expect(r.took).To(BeNumerically("<", claim.CommitTimeout+claim.ResolveTimeout+answerSlack), "%s", r)
		}
		d.settle()
		d.expectTruth(append(replies, r)...)
		d.expectAtMostOnce(append(replies, r)...)
	})

	// Guards against a run without a start record.
	It("refuses a caller-made key and runs a ticket once in a store outage", func() {
		d := desk(2)
		made, ticketed := callerMade(d), d.entry("entry-2").ticket(Default)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Outage: true}})
		refused := d.repeatKey(made)
		for _, r := range refused {
			Expect(r.outcome).To(Equal(service.NotRun), "%s", r)
		}
		Expect(d.runsOf(made)).To(BeZero())
		replies := append(refused, d.repeatKey(ticketed)...)
		Expect(d.runsOf(ticketed)).To(Equal(1))
		d.setFaults(platform.Faults{})
		replies = append(replies, d.repeatKey(made)...)
		Expect(d.runsOf(made)).To(Equal(1))
		d.settle()
		d.expectAtMostOnce(replies...)
		d.expectTruth(replies...)
	})

	// Guards against faults that each rule survives alone but not together.
	DescribeTable("runs each of many keys at most once under random faults",
		func(seed uint64) {
			random := rand.New(rand.NewPCG(seed, 0))
			AddReportEntry(fmt.Sprintf("seed %d", seed))
			d := desk(2)
			var keys []string
			for range 20 {
				keys = append(keys, callerMade(d), ticketOf("entry-1")(d), ticketOf("entry-2")(d))
			}
			random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
			var replies []reply
			for wave := range 6 {
				fault := d.randomRequestFault(random)
				By(fmt.Sprintf("wave %d: %s", wave, fault))
				replies = append(replies, d.wave(random, keys[wave*10:wave*10+10])...)
				d.lift()
			}
			for _, key := range keys {
				replies = append(replies, d.repeatKey(key)...)
			}
			d.settle()
			AddReportEntry("replies", fmt.Sprint(tally(replies)))
			d.expectAtMostOnce(replies...)
			d.expectTruth(replies...)
			expectRetryTimes(replies...)
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)
})
