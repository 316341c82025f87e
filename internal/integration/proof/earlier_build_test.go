package proof

import (
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
)

// earlierBuildVariable names the environment variable with the path of an earlier build of the
// program. Without it, the specs of this file are not defined.
const earlierBuildVariable = "JACINTHTRAIL_EARLIER_BUILD"

// cancelJob asks the instance to cancel a job.
func (e *entryProcess) cancelJob(key string) {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodDelete, "http://"+e.Caller+"/jobs/rotas/"+key, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(BeNumerically("<", http.StatusMultipleChoices))
}

// expectMixedBuilds lets an instance of the first build own a shard while an instance of the
// second build runs, and moves the shard to the second build and back to the first.
func expectMixedBuilds(first, second string) {
	GinkgoHelper()
	d := startPlatform()
	owner := d.startEntryOf(first, "entry-1", zoneA)
	for _, id := range []string{"worker-1", "worker-2"} {
		d.startWorker(id, zoneA)
	}
	d.startExecutor("executor-1", zoneA, "worker-1")
	d.publish(owner)
	owner.expectOwnsShard(readyTimeout)
	other := d.startEntryOf(second, "entry-2", zoneA)
	other.expectReady()
	d.expectMember(zoneA, "entry-2")
	owner.expectServed(readyTimeout)
	other.expectServed(readyTimeout)

	other.submit("before", 4, payload{Work: 3 * time.Second, Result: "built"})
	other.submit("cancelled", 1, payload{Work: time.Minute, Result: "built"})
	other.cancelJob("cancelled")
	d.killEntry(owner)
	other.expectOwnsShard(takeoverTimeout)
	other.expectServed(readyTimeout)
	other.submit("between", 4, payload{Work: 3 * time.Second, Result: "built"})

	third := d.startEntryOf(first, "entry-3", zoneA)
	third.expectReady()
	d.expectMember(zoneA, "entry-3")
	d.killEntry(other)
	third.expectOwnsShard(takeoverTimeout)
	third.expectServed(readyTimeout)
	third.expectSucceeded("before", 4, jobFinishTimeout)
	third.expectSucceeded("between", 4, jobFinishTimeout)
	third.expectState("cancelled", job.Cancelled, jobFinishTimeout)
	d.expectNoOverlappingRuns()
}

// Guards against a change of a message, a stored row or a key that makes instances of two builds
// incompatible.
var _ = Describe("An instance that runs beside one of another build", Label("earlier-build"), func() {
	earlier := os.Getenv(earlierBuildVariable)
	if earlier == "" {
		return
	}
	It("takes over a shard from the earlier build and returns it", func() {
		expectMixedBuilds(earlier, binary)
	})
	It("takes over a shard from the current build and returns it", func() {
		expectMixedBuilds(binary, earlier)
	})
})
