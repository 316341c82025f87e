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

// sendWave sends each key three times concurrently through random instances. Half of the time it
// cuts the connections to the executors once requests run.
func (d *deployment) sendWave(random *rand.Rand, keys []string) []reply {
	GinkgoHelper()
	entries := []*entryProcess{d.entry("entry-1"), d.entry("entry-2")}
	// Callers whose instance is frozen give up.
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
		// With some faults no request runs, so a timeout of this wait is not a failure.
		_ = InterceptGomegaFailure(func() {
			Eventually(func() int { return len(d.requestRuns()) }).WithTimeout(time.Second).Should(BeNumerically(">", before))
		})
		d.cutExecutorConnections()
	}
	group.Wait()
	return <-replies
}

// injectRandomFault injects a random fault into the store, the proxies, an instance or an
// executor and returns its description.
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
		return "connections cut within responses"
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

// clearFaults removes the faults that injectRandomFault can set.
func (d *deployment) clearFaults() {
	GinkgoHelper()
	d.setFaults(platform.Faults{})
	d.setExecutorProxyFaults(proxy.Faults{})
	d.cutExecutorConnections()
	d.entry("entry-2").thaw()
}

// bytesToExecutors returns the number of bytes that the proxies forwarded to executors.
func (d *deployment) bytesToExecutors() int64 {
	var sum int64
	for _, e := range d.executors {
		toServer, _ := e.proxy.Bytes()
		sum += toServer
	}
	return sum
}
