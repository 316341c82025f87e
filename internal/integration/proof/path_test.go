package proof

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// takeoverTimeout is the documented time within which the shard of a dead owner gets a new
// owner.
const takeoverTimeout = 15 * time.Second

// startTwoZones starts a deployment with two zones, each with two entry instances, two workers
// and one executor, and publishes the test manifest.
func startTwoZones() *deployment {
	GinkgoHelper()
	d := startPlatform()
	for _, zoneName := range []string{zoneA, zoneB} {
		for _, n := range []string{"1", "2"} {
			d.startEntry("entry-"+zoneName+"-"+n, zoneName)
			d.startWorker("worker-"+zoneName+"-"+n, zoneName)
		}
		d.startExecutor("executor-"+zoneName, zoneName, "worker-"+zoneName+"-1")
	}
	d.publish(d.entry("entry-zone-a-1"))
	for _, e := range d.entries {
		e.expectReady()
	}
	d.expectOwner(zoneA, takeoverTimeout)
	d.expectOwner(zoneB, takeoverTimeout)
	return d
}

// request sends a request to the desk service and returns its status, outcome and body.
func (e *entryProcess) request(path string, header http.Header) (int, string, string) {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPost, "http://"+e.Caller+"/services/desk"+path, nil)
	Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, response.Header.Get("Jacinthtrail-Outcome"), string(body)
}

// expectServed waits until the instance completes a request.
func (e *entryProcess) expectServed(timeout time.Duration) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status, outcome, body := e.request("/check?work=5ms&size=100", nil)
		g.Expect(status).To(Equal(http.StatusOK), "%s %s", outcome, body)
		g.Expect(outcome).To(Equal("Completed"))
	}).WithTimeout(timeout).Should(Succeed())
}

var _ = Describe("A deployment with two zones", Label("path"), func() {
	// Guards against requests and jobs that succeed only while no process fails.
	It("serves requests and finishes jobs when the owner of a shard is killed", func() {
		d := startTwoZones()
		for _, e := range d.entries {
			e.expectServed(readyTimeout)
		}
		owner := d.expectOwner(zoneA, takeoverTimeout)
		other := d.entry("entry-zone-a-1")
		if other == owner {
			other = d.entry("entry-zone-a-2")
		}
		other.submit("before", 6, payload{Work: 3 * time.Second, Result: "built"})
		owner.kill()
		delete(d.entries, string(owner.ID))
		other.expectServed(time.Second)
		other.submit("after", 4, payload{Work: 100 * time.Millisecond, Result: "built"})
		other.expectSucceeded("before", 6, takeoverTimeout+20*time.Second)
		other.expectSucceeded("after", 4, takeoverTimeout+20*time.Second)
	})
})
