package logging_test

import (
	"bytes"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Logging")
}

var _ = Describe("Loggers", func() {
	It("does not block logging when nothing reads the output", func() {
		reader, writer := io.Pipe()
		defer reader.Close()
		counters := &counter.Set{}
		logs := logging.Open(writer, zerolog.InfoLevel, counters)
		written := make(chan struct{})
		began := time.Now()
		for range 20000 {
			logs.Routine.Info().Msg("line")
			logs.Important.Info().Msg("line")
		}
		close(written)
		Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
		Expect(counters.Value(logging.CountRoutine)).To(BeNumerically(">", 0))
	})

	It("writes important lines while routine lines exceed their limit", func() {
		var out bytes.Buffer
		counters := &counter.Set{}
		logs := logging.Open(&out, zerolog.InfoLevel, counters)
		logs.With("Instance", "n1")
		for range 2000 {
			logs.Routine.Info().Msg("routine")
		}
		logs.Important.Info().Msg("takeover")
		Expect(logs.Close()).To(Succeed())
		Expect(out.String()).To(ContainSubstring("takeover"))
		Expect(strings.Count(out.String(), "routine")).To(BeNumerically("<", 2000))
		Expect(out.String()).To(ContainSubstring(`"Instance":"n1"`))
	})
})

var _ = Describe("Text", func() {
	It("lists counters and histograms in the order of their names", func() {
		counters, latencies := &counter.Set{}, &counter.Histograms{}
		counters.Add("B", 2)
		counters.Add("A", 1)
		for range 100 {
			latencies.Observe("Latency.X", 10*time.Millisecond)
		}
		answer := httptest.NewRecorder()
		counter.TextHandler{Counters: counters, Histograms: latencies}.ServeHTTP(answer, nil)
		lines := strings.Split(strings.TrimSpace(answer.Body.String()), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(Equal("A 1"))
		Expect(lines[2]).To(HavePrefix("Latency.X count=100 p50=10."))
	})
})
