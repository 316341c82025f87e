package memory

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// serveInstance is a process of serve, alone with a simulated platform.
type serveInstance struct {
	*process
	callers, peers, operators string
	submitted                 int
}

func startServe(l limits) *serveInstance {
	GinkgoHelper()
	platformAddress := freeAddress()
	startProcess(limits{}, nil, "standin", "platform", "--address", platformAddress)
	i := &serveInstance{callers: freeAddress(), peers: freeAddress(), operators: freeAddress()}
	environment := []string{
		fmt.Sprintf("JACINTHTRAIL_MEMORY_MB=%d", l.memoryMB), fmt.Sprintf("JACINTHTRAIL_FILE_DESCRIPTORS=%d", l.fileDescriptors),
	}
	i.process = startProcess(l, environment, "serve", "--id", "n-0", "--zone", "z", "--region", "g", "--platform", platformAddress,
		"--caller-address", i.callers, "--peer-address", i.peers, "--operator-address", i.operators, "--log-level", "warn")
	i.expectServing(i.publish)
	i.expectServing(i.submit)
	return i
}

// publish publishes a manifest with one service and one class of jobs.
func (i *serveInstance) publish() error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	client := control.Client{Address: i.operators}
	current, err := client.Manifest(ctx)
	if err != nil {
		return err
	}
	if current.Version > 0 {
		return nil
	}
	published, err := client.Publish(ctx, testManifest(), current.Version, "test", time.Second)
	if err == nil && len(published.Missing) > 0 {
		return fmt.Errorf("missing %v", published.Missing)
	}
	return err
}

func testManifest() manifest.Manifest {
	second := manifest.Duration(time.Second)
	return manifest.Manifest{
		Zones: []manifest.Zone{{Name: "z", Region: "g"}},
		Services: []manifest.Service{{
			Name: "desk", Target: second, MaxDuration: manifest.Duration(time.Minute), FirstByteTimeout: second, IdleTimeout: second,
			MaxFeedDuration: manifest.Duration(time.Minute), RetryShare: 100, HedgePercentile: 99, ErrorBudget: 10, MaxBody: bodyBytes,
		}},
		Classes: []manifest.Class{{
			Name: "build", Team: "rotas", Resources: resource.Vector{Processors: 1000, Memory: 1e9},
			ExpectedDuration: second, MaxAttempts: 3,
		}},
		Teams: []manifest.Team{{
			Name: "rotas", Quota: resource.Vector{Processors: 1e6, Memory: 1e12}, UrgentQuota: resource.Vector{Processors: 1e6, Memory: 1e12}, Weight: 1,
		}},
		Limits: manifest.Limits{ShardsPerZone: 1, MaxQueuedJobs: 1000, MaxTasksPerJob: 1000, MaxPayload: bodyBytes, MaxResult: 64 << 10, ReturnRamp: second},
	}
}

// submit submits a job over a new connection, as an ordinary caller does.
func (i *serveInstance) submit() error {
	i.submitted++
	body := `{"Class":"build","Tasks":1,"Payload":{}}`
	return call(http.MethodPut, i.callers, "h", fmt.Sprintf("/jobs/rotas/k%d", i.submitted), body, http.StatusCreated)
}

const (
	crowdJobPath     = "/jobs/rotas/crowd"
	crowdServicePath = "/services/desk/x"
)

var _ = Describe("serve", func() {
	DescribeTable("stays within its memory and answers callers while a crowd", func(m func() message) {
		i := startServe(memoryLimits)
		expectBorne(i.process, []string{i.callers}, m(), i.submit)
	},
		Entry("sends bodies of jobs that stop just short of their end", func() message { return jsonBody(wholeBody("PUT", "h", crowdJobPath)) }),
		Entry("sends bodies of service requests that stop just short of their end", func() message { return wholeBody("POST", "h", crowdServicePath) }),
		Entry("sends such bodies piece by piece", func() message { return piecewiseBody("POST", "h", crowdServicePath) }),
		Entry("sends such bodies as one chunk", func() message { return oneChunk("POST", "h", crowdServicePath) }),
		Entry("sends such bodies in chunks of one byte", func() message { return smallChunks("POST", "h", crowdServicePath) }),
		Entry("sends headers that never end", func() message { return endlessHeader("POST", "h", crowdServicePath) }),
		Entry("sends unfinished headers of very many lines", func() message { return unfinishedTinyLines("POST", "h", crowdServicePath) }),
		Entry("sends finished headers of very many lines and no body", func() message { return finishedTinyLines("POST", "h", crowdServicePath) }),
	)
	DescribeTable("stays within its memory and answers callers while a crowd sends to", func(port func(*serveInstance) string, m func() message) {
		i := startServe(memoryLimits)
		expectBorne(i.process, []string{port(i)}, m(), i.submit)
	},
		Entry("the peers' port unfinished messages", func(i *serveInstance) string { return i.peers }, unfinishedFrame),
		Entry("the operators' port unfinished manifests", func(i *serveInstance) string { return i.operators }, func() message { return wholeBody("PUT", "h", "/manifest?base=1") }),
	)
	DescribeTable("stays within its descriptors and answers callers while a crowd", func(port func(*serveInstance) string, m func() message) {
		i := startServe(connectionLimits)
		expectBorne(i.process, []string{port(i)}, m(), i.submit)
	},
		Entry("queries states and never reads the answers", func(i *serveInstance) string { return i.callers }, func() message { return pipelined("GET", "h", crowdJobPath) }),
		Entry("connects to the callers' port", func(i *serveInstance) string { return i.callers }, func() message { return nothing }),
		Entry("connects to the operators' port", func(i *serveInstance) string { return i.operators }, func() message { return nothing }),
		Entry("connects to the peers' port", func(i *serveInstance) string { return i.peers }, func() message { return nothing }),
	)
	It("serves a body of the largest size in calm", func() {
		i := startServe(memoryLimits)
		payload, err := json.Marshal(strings.Repeat("x", bodyBytes-4096))
		Expect(err).NotTo(HaveOccurred())
		body := fmt.Sprintf(`{"Class":"build","Tasks":1,"Payload":%s}`, payload)
		Eventually(func() error {
			return call(http.MethodPut, i.callers, "h", "/jobs/rotas/large", body, http.StatusCreated)
		}).WithTimeout(answerTimeout).Should(Succeed())
	})
})

// jsonBody makes the body of a request the beginning of a JSON string, which a decoder keeps
// until its end.
func jsonBody(m message) message {
	for i, piece := range m {
		head, body, found := strings.Cut(string(piece), "\r\n\r\n")
		if found {
			m[i] = []byte(head + "\r\n\r\n" + `{"Payload":"` + strings.ReplaceAll(body[len(`{"Payload":"`):], " ", "x"))
		}
	}
	return m
}
