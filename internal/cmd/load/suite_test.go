package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// execute runs the command with a run function that keeps the options.
func execute(args ...string) (*Options, error) {
	var got *Options
	cmd := NewCmd(factory.New(), func(_ context.Context, o *Options) error {
		got = o
		return nil
	})
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(args)
	return got, cmd.Execute()
}

var _ = Describe("The command", func() {
	It("derives rates from the capacity", func() {
		opts, err := execute("--load", "50,200", "--executors", "4", "--work", "50ms")
		Expect(err).NotTo(HaveOccurred())
		Expect(opts.rates()).To(Equal([]float64{320, 1280}))
	})

	// Guards against load on anything but this machine.
	DescribeTable("refuses",
		func(problem string, args ...string) {
			_, err := execute(args...)
			Expect(err).To(MatchError(ContainSubstring(problem)))
		},
		Entry("other machines", "no loopback address", "--target", "192.0.2.1:80", "--rate", "1"),
		Entry("names", "no loopback address", "--target", "localhost:80", "--rate", "1"),
		Entry("targets of unknown capacity", "not known", "--target", "127.0.0.1:80"),
		Entry("unbounded counts", "too many", "--rate", "20000", "--duration", "10m"),
		Entry("rates out of range", "out of range", "--rate", "-1"),
	)
})

var _ = Describe("A run", func() {
	It("counts answers and refusals, against refusals that pass for answers", func() {
		var refused bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if refused = !refused; refused {
				w.Header().Set("Jacinthtrail-Outcome", "NotRun")
				w.Header().Set("Jacinthtrail-Reason", "Overload")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			completed(make([]byte, answerBytes)).ServeHTTP(w, r)
		}))
		defer server.Close()
		step := stepOf(server.Listener.Addr().String(), 50)
		Expect(step.Due).To(Equal(10))
		Expect(step.Completed + step.Refused["Overload"]).To(Equal(10))
		Expect(step.Failed).To(BeEmpty())
		Expect(step.P99).To(BeNumerically(">", 0))
	})

	It("counts latency from the due time, against late sends that hide the wait", func() {
		server := httptest.NewServer(completed(make([]byte, answerBytes)))
		defer server.Close()
		step := sendDue(server, 500*time.Millisecond)
		Expect(step.Completed).To(Equal(1))
		Expect(step.P50).To(BeNumerically(">=", 500*time.Millisecond))
	})

	It("counts cut answers as failed", func() {
		server := httptest.NewServer(completed([]byte("short")))
		defer server.Close()
		Expect(sendDue(server, 0).Failed).To(HaveKeyWithValue("Truncated", 1))
	})
})

func completed(answer []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Jacinthtrail-Outcome", "Completed")
		_, _ = w.Write(answer)
	})
}

// sendDue sends one request that was due some time ago.
func sendDue(server *httptest.Server, ago time.Duration) Step {
	target := server.Listener.Addr().String()
	s := newSender(options(), []string{target})
	s.step = Step{Refused: map[string]int{}, Failed: map[string]int{}}
	s.latency = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	s.send(context.Background(), target, s.clock.Now().Add(-ago))
	s.step.finish(s.latency, time.Second)
	return s.step
}

func options(targets ...string) *Options {
	f := factory.New()
	return &Options{
		Factory: f, Targets: targets, Duration: 200 * time.Millisecond, Timeout: time.Second, Work: time.Millisecond,
		Load: []int{100}, Executors: 1, JSON: true,
	}
}

func stepOf(target string, rate float64) Step {
	GinkgoHelper()
	var out bytes.Buffer
	opts := options(target)
	opts.Rate, opts.Factory.IO.Out = rate, &out
	Expect(run(context.Background(), opts)).To(Succeed())
	var outcome Outcome
	Expect(json.Unmarshal(out.Bytes(), &outcome)).To(Succeed())
	Expect(outcome.Steps).To(HaveLen(1))
	return outcome.Steps[0]
}
