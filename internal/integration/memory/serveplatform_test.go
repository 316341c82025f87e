package memory

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	testHost   = "h.example"
	testPrefix = "/q/"
)

// platformInstance is a process of serve-platform, alone with a store and a worker.
type platformInstance struct {
	*process
	store                              *store
	callers, readiness, peers, metrics string
	submitted                          int
}

// newWorker starts a worker that runs nothing. It ends with the spec.
func newWorker() *httptest.Server {
	born := time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/hold", func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(500 * time.Millisecond):
		}
		_ = json.NewEncoder(w).Encode(map[string]any{
			"clockMs": time.Since(born).Milliseconds() + 1000, "born": born.UnixMilli(), "running": []any{}, "finished": []any{},
		})
	})
	return httptest.NewServer(mux)
}

func startServePlatform(l limits) *platformInstance {
	GinkgoHelper()
	return startOnStore(l, newPlatform())
}

// newPlatform starts a store with a configuration and a worker. Both end with the spec.
func newPlatform() *store {
	GinkgoHelper()
	s, worker := newStore(), newWorker()
	DeferCleanup(func() {
		for _, server := range []*httptest.Server{s.Server, worker} {
			server.CloseClientConnections()
			server.Close()
		}
	})
	s.put("layout", "main", "layout", map[string]any{"Shards": 1})
	s.put("op", "", "config", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": testHost, "prefix": testPrefix, "service": "svc", "maxAttempts": 2, "slackFactor": 2, "targetLatencyMs": 1000}},
		"services": []any{map[string]any{"name": "svc", "admissionCheck": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.put("servers", "", "i-0", map[string]any{
		"service": "svc", "address": worker.Listener.Addr().String(), "zone": "z", "version": "v1", "slots": 8, "state": "ready",
		"sequence": 1, "born": time.Now().UnixMilli(), "capacity": map[string]any{"cpu": 8000, "memoryRequestMb": 8000, "gpu": 0}, "labels": []string{"a", "r1-1"},
	})
	return s
}

// startOnStore starts a process on a store that may have the rows of an earlier one.
func startOnStore(l limits, s *store) *platformInstance {
	GinkgoHelper()
	i := &platformInstance{store: s, callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), metrics: freeAddress()}
	i.process = startProcess(l, nil, "serve-platform", "--config", i.writeSettings(l, s.Listener.Addr().String()),
		"--metrics-port", strings.TrimPrefix(i.metrics, "127.0.0.1:"), "--log-level", "warn")
	i.expectServing(i.submit)
	return i
}

func (i *platformInstance) writeSettings(l limits, storeAddress string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	content := fmt.Sprintf(`
nodeName = "n-0"
zone = "z"
ip = "127.0.0.1"
seeds = []
commands = "invocation"
[listen]
frontend = %q
ready = %q
control = %q
[limits]
cpuShare = 1.0
cores = 1
totalMemoryMb = %d
fileDescriptors = %d
[bounds]
holdMaxMs = 6000
stopTimeoutMs = 200
graceS = 6
remoteFactor = 3
[platform]
address = %q
form = "table"
`, i.callers, i.readiness, i.peers, l.memoryMB, l.fileDescriptors, storeAddress)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

// requestTimeout bounds an ordinary request.
const requestTimeout = 5 * time.Second

// submit submits a job over a new connection, as an ordinary caller does.
func (i *platformInstance) submit() error {
	i.submitted++
	path := fmt.Sprintf("%s%016x", testPrefix, i.submitted)
	body := `{"spec":"text","steps":[{"count":1,"cpu":500,"memoryRequestMb":100,"estimatedMs":100}]}`
	return call(http.MethodPost, i.callers, testHost, path, body, http.StatusOK)
}

// call sends a request over a new connection and fails unless it gets the status.
func call(method, address, host, path, body string, expected int) error {
	status, err := statusOf(method, address, host, path, body)
	if err == nil && status != expected {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// statusOf sends a request over a new connection and returns the status of its answer.
func statusOf(method, address, host, path, body string) (int, error) {
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = host
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	return answer.StatusCode, nil
}

// jobPath is the path of a job that the crowds submit and query.
const jobPath = testPrefix + "ffffffffffffffff"

// memoryLimits leave room for what an instance needs in calm, and not for all that a crowd sends.
var memoryLimits = limits{memoryMB: 64, fileDescriptors: 1024}

// connectionLimits leave fewer sockets than a crowd opens.
var connectionLimits = limits{memoryMB: 64, fileDescriptors: 500}

var _ = Describe("serve-platform", func() {
	DescribeTable("stays within its memory and answers callers while a crowd", func(m func() message) {
		i := startServePlatform(memoryLimits)
		expectBorne(i.process, []string{i.callers}, m(), i.submit)
	},
		Entry("sends bodies that stop just short of their end", func() message { return wholeBody("POST", testHost, jobPath) }),
		Entry("sends such bodies piece by piece", func() message { return piecewiseBody("POST", testHost, jobPath) }),
		Entry("sends such bodies as one chunk", func() message { return oneChunk("POST", testHost, jobPath) }),
		Entry("sends such bodies in chunks of one byte", func() message { return smallChunks("POST", testHost, jobPath) }),
		Entry("sends complete bodies with very many steps", func() message { return manySteps(testHost, jobPath) }),
		Entry("sends headers that never end", func() message { return endlessHeader("POST", testHost, jobPath) }),
		Entry("sends unfinished headers of very many lines", func() message { return unfinishedTinyLines("POST", testHost, jobPath) }),
		Entry("sends finished headers of very many lines and no body", func() message { return finishedTinyLines("POST", testHost, jobPath) }),
	)
	It("stays within its memory and answers callers while a crowd sends unfinished messages to the peers' port", func() {
		i := startServePlatform(memoryLimits)
		expectBorne(i.process, []string{i.peers}, unfinishedFrame(), i.submit)
	})
	DescribeTable("stays within its descriptors and answers callers while a crowd", func(port func(*platformInstance) string, m func() message) {
		i := startServePlatform(connectionLimits)
		expectBorne(i.process, []string{port(i)}, m(), i.submit)
	},
		Entry("queries states and never reads the answers", (*platformInstance).callerAddress, func() message { return pipelined("GET", testHost, jobPath) }),
		Entry("connects to the callers' port", (*platformInstance).callerAddress, func() message { return nothing }),
		Entry("connects to the readiness port", func(i *platformInstance) string { return i.readiness }, func() message { return nothing }),
		Entry("queries metrics and never reads the answers", func(i *platformInstance) string { return i.metrics }, func() message { return pipelined("GET", testHost, "/metrics") }),
		Entry("connects to the peers' port", func(i *platformInstance) string { return i.peers }, func() message { return nothing }),
	)
	It("stays within its descriptors and answers callers while a crowd connects to all ports", func() {
		i := startServePlatform(connectionLimits)
		expectBorne(i.process, []string{i.callers, i.readiness, i.metrics, i.peers}, nothing, i.submit)
	})
	It("serves a body of the largest size in calm", func() {
		i := startServePlatform(memoryLimits)
		body := `{"spec":"text","steps":[{"count":1,"cpu":500,"memoryRequestMb":100,"estimatedMs":100}]}`
		body += strings.Repeat(" ", bodyBytes-len(body))
		Eventually(func() error {
			return call(http.MethodPost, i.callers, testHost, jobPath, body, http.StatusOK)
		}).WithTimeout(answerTimeout).Should(Succeed())
	})
})

func (i *platformInstance) callerAddress() string { return i.callers }
