package proof

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// sendWave sends each key three times at once through random instances and cuts the
// connections to the executors once requests run.
func (d *deployment) sendWave(random *rand.Rand, keys []string) []reply {
	GinkgoHelper()
	entries := []*entryProcess{d.entry("entry-1"), d.entry("entry-2")}
	// Callers of a frozen instance give up.
	ctx, cancel := context.WithTimeout(context.Background(), deskMaxDuration+responseSlack)
	defer cancel()
	var calls []func() reply
	for _, key := range keys {
		for range 3 {
			e := entries[random.IntN(len(entries))]
			a := callerRequest{key: key, work: time.Duration(random.Int64N(int64(100 * time.Millisecond))), size: random.Int64N(100_000), seed: key}
			calls = append(calls, func() reply { return e.sendRequest(ctx, a) })
		}
	}
	before := len(d.requestRuns())
	replies := make(chan []reply, 1)
	var group sync.WaitGroup
	group.Go(func() { replies <- runConcurrently(len(calls), func(i int) reply { return calls[i]() }) })
	if random.IntN(2) == 0 {
		// With some faults nothing runs, so the wait has no assertion.
		_ = InterceptGomegaFailure(func() {
			Eventually(func() int { return len(d.requestRuns()) }).WithTimeout(time.Second).Should(BeNumerically(">", before))
		})
		d.cutExecutorConnections()
	}
	group.Wait()
	return <-replies
}

// injectRandomFault sets a random fault between the parts that a request needs.
func (d *deployment) injectRandomFault(random *rand.Rand) string {
	GinkgoHelper()
	switch random.IntN(7) {
	case 0:
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		return "lost acknowledgements"
	case 1:
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Outage: true}})
		return "store outage"
	case 2:
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: time.Duration(random.Int64N(int64(3 * time.Second)))}})
		return "slow store"
	case 3:
		d.setExecutorProxyFaults(proxy.Faults{CutAfter: 1 + random.Int64N(50_000)})
		return "cuts within answers"
	case 4:
		for _, e := range d.executors {
			e.proxy.SilenceExisting()
		}
		return "silent connections"
	case 5:
		d.entry("entry-2").freeze()
		d.entry("entry-2").expectFrozen()
		return "a frozen instance"
	default:
		Expect(d.executors["executor-1"].proxy.SetFaults(proxy.Faults{Refuse: true})).To(Succeed())
		return "an executor that refuses connections"
	}
}

// clearFaults ends the faults of a wave.
func (d *deployment) clearFaults() {
	GinkgoHelper()
	d.setFaults(platform.Faults{})
	d.setExecutorProxyFaults(proxy.Faults{})
	d.cutExecutorConnections()
	d.entry("entry-2").thaw()
}

// bytesToExecutors counts what was forwarded to executors.
func (d *deployment) bytesToExecutors() int64 {
	var sum int64
	for _, e := range d.executors {
		toServer, _ := e.proxy.Bytes()
		sum += toServer
	}
	return sum
}
