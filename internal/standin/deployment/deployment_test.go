package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

func TestDeployment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Deployment")
}

// startTimeout bounds the time until a deployment of a user's size is ready.
const startTimeout = 60 * time.Second

// requestsPerEntry is the number of requests sent to each entry instance.
const requestsPerEntry = 20

var _ = Describe("Example manifests at the users' sizes", func() {
	loadManifest := func(name string) manifest.Manifest {
		GinkgoHelper()
		file, err := os.Open(filepath.Join("..", "..", "..", "examples", name))
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		m, err := manifest.Load(file)
		Expect(err).NotTo(HaveOccurred())
		return m
	}

	expectRequestsServed := func(d *Deployment, service manifest.ServiceName) {
		GinkgoHelper()
		for _, entry := range d.Entries {
			for range requestsPerEntry {
				url := fmt.Sprintf("http://%s/services/%s/check?work=1ms&size=100", entry.Addresses().Caller, service)
				response, err := http.Post(url, "", http.NoBody)
				Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Body.Close()).To(Succeed())
				Expect(response.StatusCode).To(Equal(http.StatusOK), "%s %s", entry.Addresses().ID, body)
			}
		}
	}

	expectJobSucceeds := func(d *Deployment, class manifest.Class) {
		GinkgoHelper()
		body, err := json.Marshal(job.Spec{Class: class.Name, Tasks: 3, Payload: json.RawMessage(`{"Work":100000000}`)})
		Expect(err).NotTo(HaveOccurred())
		url := fmt.Sprintf("http://%s/jobs/%s/first", d.Entries[0].Addresses().Caller, class.Team)
		request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusCreated))
		Eventually(func(g Gomega) {
			response, err := http.Get(url)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			var answer job.Answer
			g.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
			g.Expect(answer.State).To(Equal(job.Succeeded))
		}).WithTimeout(20 * time.Second).Should(Succeed())
	}

	// Guards against an example manifest that is valid but with which a deployment can't
	// serve requests and jobs.
	DescribeTable("serves requests and jobs in a deployment",
		func(ctx SpecContext, name string, size Size) {
			m := loadManifest(name)
			size.Executor.Service = string(m.Services[0].Name)
			startCtx, cancel := context.WithTimeout(ctx, startTimeout)
			defer cancel()
			d, err := Start(startCtx, m, size, clockwork.NewRealClock(), zerolog.Nop())
			Expect(err).NotTo(HaveOccurred())
			expectRequestsServed(d, m.Services[0].Name)
			expectJobSucceeds(d, m.Classes[0])
			Expect(d.Close()).To(Succeed())
		},
		Entry("Umhlanga", "umhlanga.json", deploymentSize(17, resource.Vector{Processors: 16000, Memory: 60e9})),
		Entry("Amagasa", "amagasa.json", deploymentSize(22, resource.Vector{Processors: 32000, Memory: 125e9})),
	)
})

// deploymentSize returns a size of three entry instances and the given number of workers
// and executors in each of three zones.
func deploymentSize(workers int, capacity resource.Vector) Size {
	return Size{
		Entries: 3, Workers: workers, Executors: workers,
		Worker: membership.Instance{Capacity: capacity},
		Executor: membership.Instance{
			Slots: 8, Connections: 64, Capacity: resource.Vector{Processors: 4000, Memory: 8e9},
		},
	}
}
