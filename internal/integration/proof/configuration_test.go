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
	// versionPollInterval is the time between looks at the version of an instance.
	versionPollInterval = 50 * time.Millisecond
	// statusTimeout bounds a look at an instance that may be frozen.
	statusTimeout = 500 * time.Millisecond
	// unreadyWatchTime is how long an instance without a manifest is watched.
	unreadyWatchTime = 3 * time.Second
)

// storeOutage is an outage of everything that the platform keeps.
var storeOutage = platform.Faults{
	Table:      platform.ServiceFaults{Outage: true},
	Object:     platform.ServiceFaults{Outage: true},
	Membership: platform.ServiceFaults{Outage: true},
}

// configuredDeployment is a deployment of entry instances whose peer traffic passes through
// proxies.
type configuredDeployment struct {
	*deployment
	peerProxies map[string]*proxy.Proxy
	versions    *versionMonitor
	// version is the last one that was accepted.
	version manifest.Version
}

// startConfiguredEntries starts the entry instances, publishes the first manifest and watches
// the version of each instance until the end of the spec.
func startConfiguredEntries(zones map[string]string) *configuredDeployment {
	GinkgoHelper()
	c := &configuredDeployment{deployment: startPlatform(), peerProxies: map[string]*proxy.Proxy{}}
	for id, zoneName := range zones {
		c.startPeer(id, zoneName)
	}
	c.versions = monitorVersions(c.deployment)
	c.publishNext("a1", configTimeout)
	c.expectInForce(time.Now(), configTimeout)
	for _, e := range c.entries {
		e.expectReady()
	}
	return c
}

// startThreeEntries starts two entry instances in a zone and one in another.
func startThreeEntries() *configuredDeployment {
	GinkgoHelper()
	return startConfiguredEntries(map[string]string{"a1": zoneA, "a2": zoneA, "b1": zoneB})
}

func (c *configuredDeployment) startPeer(id, zoneName string, args ...string) *entryProcess {
	GinkgoHelper()
	p := newProxy("")
	e := c.startEntry(id, zoneName, append(args, "--announce-peer-address", p.Address())...)
	p.SetTarget(e.Peer)
	c.peerProxies[id] = p
	return e
}

// markedManifest returns a manifest that can be told from others by a number.
func markedManifest(mark int) manifest.Manifest {
	m := testManifest()
	m.Limits.MaxQueuedJobs = mark
	return m
}

func (c *configuredDeployment) publishManifest(through string, m manifest.Manifest, by string, inForceWait time.Duration) (control.PublishAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceWait+readyTimeout)
	defer cancel()
	return c.entries[through].control().Publish(ctx, m, c.version, by, inForceWait)
}

// publishNext publishes the next version, which must be accepted once, and returns who
// did not report it within the wait.
func (c *configuredDeployment) publishNext(through string, inForceWait time.Duration) []membership.InstanceID {
	GinkgoHelper()
	answer, err := c.publishManifest(through, markedManifest(1000+int(c.version)), "operator", inForceWait)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Version).To(Equal(c.version + 1))
	c.version = answer.Version
	return answer.Missing
}

// expectInForce waits until every running instance reports the last version.
func (c *configuredDeployment) expectInForce(since time.Time, bound time.Duration) {
	GinkgoHelper()
	for id := range c.entries {
		Eventually(func() manifest.Version { return c.versions.latestVersion(id) }).
			WithTimeout(max(bound-time.Since(since), versionPollInterval)).WithPolling(versionPollInterval).
			Should(Equal(c.version), "version on %s within %s", id, bound)
	}
	AddReportEntry("in force", fmt.Sprintf("version %d after %s", c.version, time.Since(since).Round(time.Millisecond)))
}

// setPeersDisconnected severs an entry instance from its peers, or heals the path.
func (c *configuredDeployment) setPeersDisconnected(id string, severed bool) {
	GinkgoHelper()
	setDisconnected(c.peerProxies[id], severed)
}

func setDisconnected(p *proxy.Proxy, severed bool) {
	GinkgoHelper()
	Expect(p.SetFaults(proxy.Faults{Refuse: severed})).To(Succeed())
	if severed {
		p.Cut()
	}
}

// expectRefused checks that an operator's request was refused.
func expectRefused(err error, status int) *control.RemoteError {
	GinkgoHelper()
	var remote *control.RemoteError
	Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
	Expect(remote.Status).To(Equal(status), "%v", err)
	return remote
}

var _ = Describe("An accepted manifest", Label("config-in-force"), func() {
	// Guards against a version that only the table spreads.
	It("is in force everywhere when the store goes down right after the acceptance", func() {
		c := startThreeEntries()
		setDisconnected(c.entry("a2").platform, true)
		setDisconnected(c.entry("b1").platform, true)
		c.publishNext("a1", 0)
		accepted := time.Now()
		c.setFaults(storeOutage)
		c.expectInForce(accepted, configTimeout)
	})

	// Guards against a version that is lost with the instance that accepted it.
	It("is in force everywhere after the store is back when its publisher died", func() {
		c := startThreeEntries()
		c.publishNext("a1", 0)
		c.setFaults(storeOutage)
		c.entry("a1").kill()
		delete(c.entries, "a1")
		c.setFaults(platform.Faults{})
		c.expectInForce(time.Now(), configTimeout)
	})

	// Guards against a restart that serves without a manifest, or with an older one.
	It("is learnt from the peers by an instance that starts while the store is down", func() {
		c := startThreeEntries()
		c.publishNext("a1", configTimeout)
		c.setFaults(storeOutage)
		c.entry("a2").kill()
		delete(c.entries, "a2")
		seed := newProxy(c.entry("b1").Peer)
		setDisconnected(seed, true)
		e := c.startPeer("a3", zoneA, "--peers", seed.Address())
		c.versions.follow("a3", e)
		Consistently(e.readyStatus).WithTimeout(unreadyWatchTime).Should(Equal(http.StatusServiceUnavailable))
		Expect(c.versions.latestVersion("a3")).To(BeZero())
		setDisconnected(seed, false)
		healed := time.Now()
		c.expectInForce(healed, configTimeout)
		Eventually(e.readyStatus).WithTimeout(max(configTimeout-time.Since(healed), 0)).Should(Equal(http.StatusNoContent))
	})

	// Guards against an instance that goes on with what it knew before a pause.
	It("is in force on a frozen instance after it is thawed", func() {
		c := startThreeEntries()
		for range 2 {
			c.entry("b1").freeze()
			Expect(c.publishNext("a1", time.Second)).To(ConsistOf(membership.InstanceID("b1")))
			c.publishNext("a2", 0)
			c.entry("b1").thaw()
			c.expectInForce(time.Now(), configTimeout)
		}
	})

	// Guards against two manifests that are both accepted, or mixed.
	It("is the only one when operators publish at the same time", func() {
		c := startThreeEntries()
		// The delay lets both read the same version before either writes.
		c.setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: 100 * time.Millisecond}})
		for round := range 5 {
			c.publishConcurrently(2000+10*round, "a1", "b1")
		}
	})

	// Guards against a read of the store that ends late and puts an old version back.
	It("does not revert on an instance whose path to the store is slow", func() {
		c := startThreeEntries()
		slowPath := proxy.Faults{ToServer: proxy.Flow{Delay: 1200 * time.Millisecond}}
		Expect(c.entry("b1").platform.SetFaults(slowPath)).To(Succeed())
		// Each version that b1 reads from the store is older than what its peers have
		// told it meanwhile.
		publishLimiter := rate.NewLimiter(10, 1)
		for n := range 60 {
			Expect(publishLimiter.Wait(context.Background())).To(Succeed())
			c.publishNext([]string{"a1", "a2"}[n%2], 0)
		}
		c.expectInForce(time.Now(), configTimeout)
	})

	// Guards against a repeat of a write that took effect.
	It("is accepted exactly once when the answer to the write is lost", func() {
		c := startThreeEntries()
		c.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		c.publishNext("b1", 0)
		c.expectInForce(time.Now(), configTimeout)
		c.publishNext("a1", 0)
		c.expectInForce(time.Now(), configTimeout)
	})

	// Guards against a zone that stays behind after a partition.
	It("is in force in a zone that was cut off and healed", func() {
		c := startThreeEntries()
		for id := range c.peerProxies {
			c.setPeersDisconnected(id, true)
		}
		setDisconnected(c.entry("b1").platform, true)
		Expect(c.publishNext("a1", time.Second)).To(ContainElement(membership.InstanceID("b1")))
		Expect(c.versions.latestVersion("b1")).To(Equal(c.version - 1))
		_, err := c.publishManifest("b1", markedManifest(7000), "cut off", 0)
		expectRefused(err, http.StatusServiceUnavailable)
		for id := range c.peerProxies {
			c.setPeersDisconnected(id, false)
		}
		setDisconnected(c.entry("b1").platform, false)
		c.expectInForce(time.Now(), configTimeout)
	})

	// Guards against an instance that depends on one of the two paths.
	DescribeTable("is in force in a zone that keeps one path",
		func(severPath func(*configuredDeployment)) {
			c := startThreeEntries()
			severPath(c)
			c.publishNext("a1", 0)
			c.expectInForce(time.Now(), configTimeout)
		},
		Entry("to its peers", func(c *configuredDeployment) { setDisconnected(c.entry("b1").platform, true) }),
		Entry("to the store", func(c *configuredDeployment) {
			for id := range c.peerProxies {
				c.setPeersDisconnected(id, true)
			}
		}),
	)

	// Guards against a manifest that is put in force in part.
	It("stays in force when bad manifests are published", func() {
		c := startThreeEntries()
		invalid := markedManifest(5000)
		invalid.Limits.ShardsPerZone = -1
		invalid.Zones[0].Region = ""
		_, err := c.publishManifest("a1", invalid, "operator", 0)
		findings := expectRefused(err, http.StatusUnprocessableEntity).Answer.Findings
		Expect(findings).To(ContainElements(HaveField("Place", "Limits.ShardsPerZone"), HaveField("Place", "Zones[0].Region")))
		resharded := markedManifest(5001)
		resharded.Limits.ShardsPerZone++
		_, err = c.publishManifest("b1", resharded, "operator", 0)
		findings = expectRefused(err, http.StatusUnprocessableEntity).Answer.Findings
		Expect(findings).To(ConsistOf(HaveField("Place", "Limits.ShardsPerZone")))
		Expect(c.putRawManifest("a2", `{"Zones":[{"Name":"zone-a"`)).To(Equal(http.StatusUnprocessableEntity))
		c.expectInForce(time.Now(), configTimeout)
		c.publishNext("a2", configTimeout)
		c.expectInForce(time.Now(), configTimeout)
	})
})

// publishConcurrently publishes two manifests over the same version through two instances. One
// must win, and the other operator must be told who did.
func (c *configuredDeployment) publishConcurrently(mark int, through ...string) {
	GinkgoHelper()
	answers := make([]control.PublishAnswer, len(through))
	errs := make([]error, len(through))
	var group sync.WaitGroup
	for n, id := range through {
		group.Go(func() { answers[n], errs[n] = c.publishManifest(id, markedManifest(mark+n), "operator of "+id, 0) })
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
			remote := expectRefused(err, http.StatusConflict)
			Expect(remote.Answer.Message).To(ContainSubstring("operator of " + through[winner]))
		}
	}
	c.version = answers[winner].Version
	c.expectInForce(time.Now(), configTimeout)
	Expect(c.versions.contentMark(c.version)).To(Equal(mark + winner))
}

// putRawManifest sends raw text as a manifest and returns the status of the answer.
func (c *configuredDeployment) putRawManifest(through, text string) int {
	GinkgoHelper()
	target := fmt.Sprintf("http://%s/manifest?base=%d", c.entries[through].Operator, c.version)
	request, err := http.NewRequest(http.MethodPut, target, strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

// readyStatus returns the status that the instance gives the balancer, 0 without an answer.
func (e *entryProcess) readyStatus() int {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + e.Caller + "/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
