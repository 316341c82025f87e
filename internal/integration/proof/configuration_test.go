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
	// versionPollInterval is the time between two polls of the version of an instance.
	versionPollInterval = 50 * time.Millisecond
	// statusTimeout limits a request to an instance that may be frozen.
	statusTimeout = 500 * time.Millisecond
	// unreadyWatchTime is how long an instance without a manifest must stay unready.
	unreadyWatchTime = 3 * time.Second
)

// storeOutage makes the tables, the objects and the membership list of the platform unavailable.
var storeOutage = platform.Faults{
	Table:      platform.ServiceFaults{Outage: true},
	Object:     platform.ServiceFaults{Outage: true},
	Membership: platform.ServiceFaults{Outage: true},
}

// configuredDeployment is a deployment with entry instances whose peer traffic passes through
// proxies.
type configuredDeployment struct {
	*deployment
	peerProxies map[string]*proxy.Proxy
	versions    *versionMonitor
	// version is the last accepted version of the manifest.
	version manifest.Version
}

// startConfiguredEntries starts the entry instances, publishes the first manifest and monitors
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

// startThreeEntries starts two entry instances in one zone and one in another.
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

// markedManifest returns a test manifest that is identified by a number in MaxQueuedJobs.
func markedManifest(mark int) manifest.Manifest {
	m := testManifest()
	m.Limits.MaxQueuedJobs = mark
	return m
}

func (c *configuredDeployment) publishManifest(entryID string, m manifest.Manifest, author string, inForceWait time.Duration) (control.PublishAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceWait+readyTimeout)
	defer cancel()
	return c.entries[entryID].control().Publish(ctx, m, c.version, author, inForceWait)
}

// publishNext publishes the next version, which must be accepted as exactly one new version, and
// returns the instances that did not report it within inForceWait.
func (c *configuredDeployment) publishNext(entryID string, inForceWait time.Duration) []membership.InstanceID {
	GinkgoHelper()
	published, err := c.publishManifest(entryID, markedManifest(1000+int(c.version)), "operator", inForceWait)
	Expect(err).NotTo(HaveOccurred())
	Expect(published.Version).To(Equal(c.version + 1))
	c.version = published.Version
	return published.Missing
}

// expectInForce waits until every running instance reports the last accepted version.
func (c *configuredDeployment) expectInForce(since time.Time, timeout time.Duration) {
	GinkgoHelper()
	for id := range c.entries {
		Eventually(func() manifest.Version { return c.versions.latestVersion(id) }).
			WithTimeout(max(timeout-time.Since(since), versionPollInterval)).WithPolling(versionPollInterval).
			Should(Equal(c.version), "version on %s within %s", id, timeout)
	}
	AddReportEntry("in force", fmt.Sprintf("version %d after %s", c.version, time.Since(since).Round(time.Millisecond)))
}

// setPeersDisconnected disconnects an entry instance from its peers or reconnects it.
func (c *configuredDeployment) setPeersDisconnected(id string, disconnected bool) {
	GinkgoHelper()
	setDisconnected(c.peerProxies[id], disconnected)
}

func setDisconnected(p *proxy.Proxy, disconnected bool) {
	GinkgoHelper()
	Expect(p.SetFaults(proxy.Faults{Refuse: disconnected})).To(Succeed())
	if disconnected {
		p.Cut()
	}
}

// expectRefused checks that a request to the operator API was refused with the given status.
func expectRefused(err error, status int) *control.RemoteError {
	GinkgoHelper()
	var remote *control.RemoteError
	Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
	Expect(remote.Status).To(Equal(status), "%v", err)
	return remote
}

var _ = Describe("Manifest distribution", Label("config-in-force"), func() {
	// Guards against instances that learn of a new version only from the table and not from
	// their peers.
	It("a manifest reaches all instances when the store fails right after it is accepted", func() {
		c := startThreeEntries()
		setDisconnected(c.entry("a2").platform, true)
		setDisconnected(c.entry("b1").platform, true)
		c.publishNext("a1", 0)
		accepted := time.Now()
		c.setFaults(storeOutage)
		c.expectInForce(accepted, configTimeout)
	})

	// Guards against losing a version with the instance that accepted it.
	It("a manifest reaches all instances after a store outage in which the accepting instance died", func() {
		c := startThreeEntries()
		c.publishNext("a1", 0)
		c.setFaults(storeOutage)
		c.entry("a1").kill()
		delete(c.entries, "a1")
		c.setFaults(platform.Faults{})
		c.expectInForce(time.Now(), configTimeout)
	})

	// Guards against an instance that starts and serves without a manifest or with an old one.
	It("an instance that starts during a store outage gets the manifest from its peers", func() {
		c := startThreeEntries()
		c.publishNext("a1", configTimeout)
		c.setFaults(storeOutage)
		c.entry("a2").kill()
		delete(c.entries, "a2")
		seed := newProxy(c.entry("b1").Peer)
		setDisconnected(seed, true)
		e := c.startPeer("a3", zoneA, "--peers", seed.Address())
		c.versions.pollVersions("a3", e)
		Consistently(e.readyStatus).WithTimeout(unreadyWatchTime).Should(Equal(http.StatusServiceUnavailable))
		Expect(c.versions.latestVersion("a3")).To(BeZero())
		setDisconnected(seed, false)
		reconnectedAt := time.Now()
		c.expectInForce(reconnectedAt, configTimeout)
		Eventually(e.readyStatus).WithTimeout(max(configTimeout-time.Since(reconnectedAt), 0)).Should(Equal(http.StatusNoContent))
	})

	// Guards against an instance that continues to use an old version after a pause.
	It("a manifest reaches a frozen instance after the instance is thawed", func() {
		c := startThreeEntries()
		for range 2 {
			c.entry("b1").freeze()
			Expect(c.publishNext("a1", time.Second)).To(ConsistOf(membership.InstanceID("b1")))
			c.publishNext("a2", 0)
			c.entry("b1").thaw()
			c.expectInForce(time.Now(), configTimeout)
		}
	})

	// Guards against accepting two manifests as the same version, and against mixing them.
	It("only one manifest is accepted as a version when operators publish concurrently", func() {
		c := startThreeEntries()
		// The delay lets both instances read the same version before either of them writes.
		c.setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: 100 * time.Millisecond}})
		for round := range 5 {
			c.publishConcurrently(2000+10*round, "a1", "b1")
		}
	})

	// Guards against a slow read of the store that replaces a newer version by an older one.
	It("an instance with a slow path to the store never reverts to an older version", func() {
		c := startThreeEntries()
		slowPath := proxy.Faults{ToServer: proxy.Flow{Delay: 1200 * time.Millisecond}}
		Expect(c.entry("b1").platform.SetFaults(slowPath)).To(Succeed())
		// Each version that b1 reads from the store is older than the one that its peers have
		// sent it in the meantime.
		publishLimiter := rate.NewLimiter(10, 1)
		for n := range 60 {
			Expect(publishLimiter.Wait(context.Background())).To(Succeed())
			c.publishNext([]string{"a1", "a2"}[n%2], 0)
		}
		c.expectInForce(time.Now(), configTimeout)
	})

	// Guards against repeating a write that was committed.
	It("a manifest is accepted exactly once when the response to the write is lost", func() {
		c := startThreeEntries()
		c.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		c.publishNext("b1", 0)
		c.expectInForce(time.Now(), configTimeout)
		c.publishNext("a1", 0)
		c.expectInForce(time.Now(), configTimeout)
	})

	// Guards against a zone that still uses an old version after a network partition.
	It("a manifest reaches a zone after a network partition ends", func() {
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

	// Guards against an instance that needs both of the paths by which it can receive a
	// manifest.
	DescribeTable("a manifest reaches a zone that has only one path left",
		func(disconnectPath func(*configuredDeployment)) {
			c := startThreeEntries()
			disconnectPath(c)
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

	// Guards against applying a part of an invalid manifest.
	It("the current manifest stays in force when invalid manifests are published", func() {
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

// publishConcurrently publishes two manifests based on the same version through two instances.
// Exactly one must be accepted, and the operator of the other must be told who published it.
func (c *configuredDeployment) publishConcurrently(mark int, entryIDs ...string) {
	GinkgoHelper()
	published := make([]control.PublishAnswer, len(entryIDs))
	errs := make([]error, len(entryIDs))
	var group sync.WaitGroup
	for n, id := range entryIDs {
		group.Go(func() { published[n], errs[n] = c.publishManifest(id, markedManifest(mark+n), "operator of "+id, 0) })
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
			Expect(remote.Answer.Message).To(ContainSubstring("operator of " + entryIDs[winner]))
		}
	}
	c.version = published[winner].Version
	c.expectInForce(time.Now(), configTimeout)
	Expect(c.versions.contentMark(c.version)).To(Equal(mark + winner))
}

// putRawManifest sends raw text as a manifest and returns the status of the response.
func (c *configuredDeployment) putRawManifest(entryID, text string) int {
	GinkgoHelper()
	target := fmt.Sprintf("http://%s/manifest?base=%d", c.entries[entryID].Operator, c.version)
	request, err := http.NewRequest(http.MethodPut, target, strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

// readyStatus returns the status of the instance's readiness endpoint, or 0 without a response.
func (e *entryProcess) readyStatus() int {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + e.Caller + "/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
