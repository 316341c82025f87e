package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

const (
	// versionPoll is the time between looks at the version of an instance.
	versionPoll = 50 * time.Millisecond
	// showTimeout bounds a look at an instance that may be frozen.
	showTimeout = 500 * time.Millisecond
	// unreadyFor is how long an instance without a manifest is watched.
	unreadyFor = 3 * time.Second
)

// storeDown is an outage of everything that the platform keeps.
var storeDown = platform.Faults{
	Table:      platform.ServiceFaults{Outage: true},
	Object:     platform.ServiceFaults{Outage: true},
	Membership: platform.ServiceFaults{Outage: true},
}

// configured is a deployment of entry instances whose peer traffic passes through
// proxies.
type configured struct {
	*deployment
	peers map[string]*proxy.Proxy
	watch *versionWatch
	// version is the last one that was accepted.
	version manifest.Version
}

// entriesOf starts the entry instances, publishes the first manifest and watches
// the version of each instance until the end of the spec.
func entriesOf(zones map[string]string) *configured {
	GinkgoHelper()
	c := &configured{deployment: deploy(), peers: map[string]*proxy.Proxy{}}
	for id, zoneName := range zones {
		c.startPeer(id, zoneName)
	}
	c.watch = watchVersions(c.deployment)
	c.accept("a1", configBound)
	c.expectInForce(time.Now(), configBound)
	for _, e := range c.entries {
		e.expectReady()
	}
	return c
}

// threeEntries starts two entry instances in a zone and one in another.
func threeEntries() *configured {
	GinkgoHelper()
	return entriesOf(map[string]string{"a1": zoneA, "a2": zoneA, "b1": zoneB})
}

func (c *configured) startPeer(id, zoneName string, args ...string) *entryProcess {
	GinkgoHelper()
	p := newProxy("")
	e := c.startEntry(id, zoneName, append(args, "--announce-peer-address", p.Address())...)
	p.SetTarget(e.Peer)
	c.peers[id] = p
	return e
}

// marked returns a manifest that can be told from others by a number.
func marked(mark int) manifest.Manifest {
	m := testManifest()
	m.Limits.MaxQueuedJobs = mark
	return m
}

func (c *configured) try(through string, m manifest.Manifest, by string, wait time.Duration) (control.PublishAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+readyBound)
	defer cancel()
	return c.entries[through].control().Publish(ctx, m, c.version, by, wait)
}

// accept publishes the next version, which must be accepted once, and returns who
// did not report it within the wait.
func (c *configured) accept(through string, wait time.Duration) []membership.InstanceID {
	GinkgoHelper()
	answer, err := c.try(through, marked(1000+int(c.version)), "operator", wait)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Version).To(Equal(c.version + 1))
	c.version = answer.Version
	return answer.Missing
}

// expectInForce waits until every running instance reports the last version.
func (c *configured) expectInForce(since time.Time, bound time.Duration) {
	GinkgoHelper()
	for id := range c.entries {
		Eventually(func() manifest.Version { return c.watch.last(id) }).
			WithTimeout(max(bound-time.Since(since), versionPoll)).WithPolling(versionPoll).
			Should(Equal(c.version), "version on %s within %s", id, bound)
	}
	AddReportEntry("in force", fmt.Sprintf("version %d after %s", c.version, time.Since(since).Round(time.Millisecond)))
}

// cut severs an entry instance from its peers, or heals the path.
func (c *configured) cut(id string, severed bool) {
	GinkgoHelper()
	sever(c.peers[id], severed)
}

func sever(p *proxy.Proxy, severed bool) {
	GinkgoHelper()
	Expect(p.SetFaults(proxy.Faults{Refuse: severed})).To(Succeed())
	if severed {
		p.Cut()
	}
}

// expectRemote checks that an operator's request was refused.
func expectRemote(err error, status int) *control.RemoteError {
	GinkgoHelper()
	var remote *control.RemoteError
	Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
	Expect(remote.Status).To(Equal(status), "%v", err)
	return remote
}

var _ = Describe("An accepted manifest", Label("config-in-force"), func() {
	// Guards against a version that only the table spreads.
	It("is in force everywhere when the store goes down right after the acceptance", func() {
		c := threeEntries()
		sever(c.entry("a2").platform, true)
		sever(c.entry("b1").platform, true)
		c.accept("a1", 0)
		accepted := time.Now()
		c.setFaults(storeDown)
		c.expectInForce(accepted, configBound)
	})

	// Guards against a version that is lost with the instance that accepted it.
	It("is in force everywhere after the store is back when its publisher died", func() {
		c := threeEntries()
		c.accept("a1", 0)
		c.setFaults(storeDown)
		c.entry("a1").kill()
		delete(c.entries, "a1")
		c.setFaults(platform.Faults{})
		c.expectInForce(time.Now(), configBound)
	})

	// Guards against a restart that serves without a manifest, or with an older one.
	It("is learnt from the peers by an instance that starts while the store is down", func() {
		c := threeEntries()
		c.accept("a1", configBound)
		c.setFaults(storeDown)
		c.entry("a2").kill()
		delete(c.entries, "a2")
		seed := newProxy(c.entry("b1").Peer)
		sever(seed, true)
		e := c.startPeer("a3", zoneA, "--peers", seed.Address())
		c.watch.follow("a3", e)
		Consistently(e.ready).WithTimeout(unreadyFor).Should(Equal(http.StatusServiceUnavailable))
		Expect(c.watch.last("a3")).To(BeZero())
		sever(seed, false)
		healed := time.Now()
		c.expectInForce(healed, configBound)
		Eventually(e.ready).WithTimeout(max(configBound-time.Since(healed), 0)).Should(Equal(http.StatusNoContent))
	})

	// Guards against an instance that goes on with what it knew before a pause.
	It("is in force on a frozen instance after it is thawed", func() {
		c := threeEntries()
		for range 2 {
			c.entry("b1").freeze()
			Expect(c.accept("a1", time.Second)).To(ConsistOf(membership.InstanceID("b1")))
			c.accept("a2", 0)
			c.entry("b1").thaw()
			c.expectInForce(time.Now(), configBound)
		}
	})

	// Guards against two manifests that are both accepted, or mixed.
	It("is the only one when operators publish at the same time", func() {
		c := threeEntries()
		// The delay lets both read the same version before either writes.
		c.setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: 100 * time.Millisecond}})
		for round := range 5 {
			c.race(2000+10*round, "a1", "b1")
		}
	})

	// Guards against a read of the store that ends late and puts an old version back.
	It("does not revert on an instance whose path to the store is slow", func() {
		c := threeEntries()
		slow := proxy.Faults{ToServer: proxy.Flow{Delay: 1200 * time.Millisecond}}
		Expect(c.entry("b1").platform.SetFaults(slow)).To(Succeed())
		// Each version that b1 reads from the store is older than what its peers have
		// told it meanwhile.
		pace := rate.NewLimiter(10, 1)
		for n := range 60 {
			Expect(pace.Wait(context.Background())).To(Succeed())
			c.accept([]string{"a1", "a2"}[n%2], 0)
		}
		c.expectInForce(time.Now(), configBound)
	})

	// Guards against a repeat of a write that took effect.
	It("is accepted exactly once when the answer to the write is lost", func() {
		c := threeEntries()
		c.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		c.accept("b1", 0)
		c.expectInForce(time.Now(), configBound)
		c.accept("a1", 0)
		c.expectInForce(time.Now(), configBound)
	})

	// Guards against a zone that stays behind after a partition.
	It("is in force in a zone that was cut off and healed", func() {
		c := threeEntries()
		for id := range c.peers {
			c.cut(id, true)
		}
		sever(c.entry("b1").platform, true)
		Expect(c.accept("a1", time.Second)).To(ContainElement(membership.InstanceID("b1")))
		Expect(c.watch.last("b1")).To(Equal(c.version - 1))
		_, err := c.try("b1", marked(7000), "cut off", 0)
		expectRemote(err, http.StatusServiceUnavailable)
		for id := range c.peers {
			c.cut(id, false)
		}
		sever(c.entry("b1").platform, false)
		c.expectInForce(time.Now(), configBound)
	})

	// Guards against an instance that depends on one of the two paths.
	DescribeTable("is in force in a zone that keeps one path",
		func(severPath func(*configured)) {
			c := threeEntries()
			severPath(c)
			c.accept("a1", 0)
			c.expectInForce(time.Now(), configBound)
		},
		Entry("to its peers", func(c *configured) { sever(c.entry("b1").platform, true) }),
		Entry("to the store", func(c *configured) {
			for id := range c.peers {
				c.cut(id, true)
			}
		}),
	)

	// Guards against a manifest that is put in force in part.
	It("stays in force when bad manifests are published", func() {
		c := threeEntries()
		invalid := marked(5000)
		invalid.Limits.ShardsPerZone = -1
		invalid.Zones[0].Region = ""
		_, err := c.try("a1", invalid, "operator", 0)
		findings := expectRemote(err, http.StatusUnprocessableEntity).Answer.Findings
		Expect(findings).To(ContainElements(HaveField("Place", "Limits.ShardsPerZone"), HaveField("Place", "Zones[0].Region")))
		resharded := marked(5001)
		resharded.Limits.ShardsPerZone++
		_, err = c.try("b1", resharded, "operator", 0)
		findings = expectRemote(err, http.StatusUnprocessableEntity).Answer.Findings
		Expect(findings).To(ConsistOf(HaveField("Place", "Limits.ShardsPerZone")))
		Expect(c.put("a2", `{"Zones":[{"Name":"zone-a"`)).To(Equal(http.StatusUnprocessableEntity))
		c.expectInForce(time.Now(), configBound)
		c.accept("a2", configBound)
		c.expectInForce(time.Now(), configBound)
	})
})

// race publishes two manifests over the same version through two instances. One
// must win, and the other operator must be told who did.
func (c *configured) race(mark int, through ...string) {
	GinkgoHelper()
	answers := make([]control.PublishAnswer, len(through))
	errs := make([]error, len(through))
	var group sync.WaitGroup
	for n, id := range through {
		group.Go(func() { answers[n], errs[n] = c.try(id, marked(mark+n), "operator of "+id, 0) })
	}
	group.Wait()
	winner := -1
	for n, err := range errs {
		if err == nil {
			Expect(winner).To(Equal(-1), "two manifests were accepted as version %d", c.version+1)
			winner = n
		}
	}
	Expect(winner).NotTo(Equal(-1), "%v", errs)
	for n, err := range errs {
		if n != winner {
			remote := expectRemote(err, http.StatusConflict)
			Expect(remote.Answer.Message).To(ContainSubstring("operator of " + through[winner]))
		}
	}
	c.version = answers[winner].Version
	c.expectInForce(time.Now(), configBound)
	Expect(c.watch.mark(c.version)).To(Equal(mark + winner))
}

// put sends raw text as a manifest and returns the status of the answer.
func (c *configured) put(through, text string) int {
	GinkgoHelper()
	target := fmt.Sprintf("http://%s/manifest?base=%d", c.entries[through].Operator, c.version)
	request, err := http.NewRequest(http.MethodPut, target, strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

// ready returns the status that the instance gives the balancer, 0 without an answer.
func (e *entryProcess) ready() int {
	client := http.Client{Timeout: showTimeout}
	response, err := client.Get("http://" + e.Caller + "/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
