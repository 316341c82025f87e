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

// execute runs the command with a run function that only records the options.
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

var _ = Describe("The load command", func() {
	It("derives the rates of its steps from the capacity", func() {
		opts, err := execute("--load", "50,200", "--executors", "4", "--work", "50ms")
		Expect(err).NotTo(HaveOccurred())
		Expect(opts.rates()).To(Equal([]float64{320, 1280}))
	})

	// The command must not send load to other machines.
	DescribeTable("refuses",
		func(problem string, args ...string) {
			_, err := execute(args...)
			Expect(err).To(MatchError(ContainSubstring(problem)))
		},
		Entry("a target on another machine", "not a loopback address", "--target", "192.0.2.1:80", "--rate", "1"),
		Entry("names", "not a loopback address", "--target", "localhost:80", "--rate", "1"),
		Entry("targets without a rate", "not known", "--target", "127.0.0.1:80"),
		Entry("too many requests in a step", "too many", "--rate", "20000", "--duration", "10m"),
		Entry("a negative rate", "out of range", "--rate", "-1"),
	)
})

var _ = Describe("A load run", func() {
	It("counts refusals apart from answers", func() {
		var refused bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if refused = !refused; refused {
				w.Header().Set("Jacinthtrail-Outcome", "NotRun")
				w.Header().Set("Jacinthtrail-Reason", "Overload")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			answerCompleted(make([]byte, answerBytes)).ServeHTTP(w, r)
		}))
		defer server.Close()
		step := runOneStep(server.Listener.Addr().String(), 50)
		Expect(step.Due).To(Equal(10))
		Expect(step.Completed + step.Refused["Overload"]).To(Equal(10))
		Expect(step.Failed).To(BeEmpty())
		Expect(step.P99).To(BeNumerically(">", 0))
	})

	It("measures latency from the due time, so that late sending doesn't hide the wait", func() {
		server := httptest.NewServer(answerCompleted(make([]byte, answerBytes)))
		defer server.Close()
		step := sendOverdue(server, 500*time.Millisecond)
		Expect(step.Completed).To(Equal(1))
		Expect(step.P50).To(BeNumerically(">=", 500*time.Millisecond))
	})

	It("counts truncated answers as failed", func() {
		server := httptest.NewServer(answerCompleted([]byte("short")))
		defer server.Close()
		Expect(sendOverdue(server, 0).Failed).To(HaveKeyWithValue("Truncated", 1))
	})
})

// answerCompleted returns a handler that sends an answer with the outcome Completed.
func answerCompleted(answer []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Jacinthtrail-Outcome", "Completed")
		_, _ = w.Write(answer)
	})
}

// sendOverdue sends one request that has been due for the given time.
func sendOverdue(server *httptest.Server, overdue time.Duration) Step {
	target := server.Listener.Addr().String()
	s := newSender(testOptions(), []string{target})
	s.step = Step{Refused: map[string]int{}, Failed: map[string]int{}}
	s.latency = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	s.send(context.Background(), target, s.clock.Now().Add(-overdue))
	s.step.summarize(s.latency, time.Second)
	return s.step
}

func testOptions(targets ...string) *Options {
	f := factory.New()
	return &Options{
		Factory: f, Targets: targets, Duration: 200 * time.Millisecond, Timeout: time.Second, Work: time.Millisecond,
		Load: []int{100}, Executors: 1, JSON: true,
	}
}

// runOneStep runs the command against a target and returns the only step of its output.
func runOneStep(target string, rate float64) Step {
	GinkgoHelper()
	var out bytes.Buffer
	opts := testOptions(target)
	opts.Rate, opts.Factory.IO.Out = rate, &out
	Expect(run(context.Background(), opts)).To(Succeed())
	var outcome Outcome
	Expect(json.Unmarshal(out.Bytes(), &outcome)).To(Succeed())
	Expect(outcome.Steps).To(HaveLen(1))
	return outcome.Steps[0]
}
