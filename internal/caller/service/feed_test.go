package service_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
)

// feed is an open feed. The test writes lines to its executor end.
type feed struct {
	harness  *harness
	executor *io.PipeWriter
	lines    *bufio.Reader
	response *http.Response
}

func openFeed(h *harness) *feed {
	reader, writer := io.Pipe()
	h.respond = func(ctx context.Context, _ int) (*service.Response, error) {
		context.AfterFunc(ctx, func() { writer.CloseWithError(ctx.Err()) })
		return &service.Response{StatusCode: http.StatusOK, Body: reader}, nil
	}
	request, err := http.NewRequest(http.MethodGet, h.server.URL+"/services/chairdesk/roster", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(service.HeaderFeed, "true")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return &feed{harness: h, executor: writer, lines: bufio.NewReader(response.Body), response: response}
}

func (f *feed) expectLine(line string) {
	GinkgoHelper()
	_, err := io.WriteString(f.executor, line)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.lines.ReadString('\n')).To(Equal(line))
}

var _ = Describe("Feeds", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	// Guards against a caller that sees lines late because they are buffered.
	It("forwards each line immediately", func() {
		f := openFeed(h)
		f.expectLine("chair 1\n")
		f.expectLine("chair 2\n")
		Expect(f.executor.Close()).To(Succeed())
		Expect(io.ReadAll(f.lines)).To(BeEmpty())
		Eventually(h.releases).Should(HaveLen(1))
		expectReleases(h.releases(), true)
	})

	It("ends a feed cleanly between lines at its maximum duration", func() {
		f := openFeed(h)
		f.expectLine("chair 1\n")
		h.clock.Advance(time.Minute)
		Expect(io.ReadAll(f.lines)).To(BeEmpty())
	})

	// Guards against a truncated feed that looks complete.
	It("aborts the connection when a feed fails", func() {
		f := openFeed(h)
		f.expectLine("chair 1\n")
		f.executor.CloseWithError(errors.New("reset"))
		_, err := io.ReadAll(f.lines)
		Expect(err).To(HaveOccurred())
	})

	It("refuses new requests while draining but lets an open feed finish", func() {
		f := openFeed(h)
		f.expectLine("chair 1\n")
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(h.handler.Drain(cancelled)).To(MatchError(context.Canceled))
		response, _, err := h.post("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, service.ReasonDraining)
		f.expectLine("chair 2\n")
		Expect(f.executor.Close()).To(Succeed())
		Expect(io.ReadAll(f.lines)).To(BeEmpty())
		Expect(h.handler.Drain(context.Background())).To(Succeed())
	})
})

var _ = Describe("Handler after the caller has disconnected", func() {
	var h *harness

	// sendAndDisconnect sends a request and disconnects once the executor has received it.
	sendAndDisconnect := func(respond func(ctx context.Context) (*service.Response, error)) {
		GinkgoHelper()
		ctx, cancel := context.WithCancel(context.Background())
		h.respond = func(ctx context.Context, _ int) (*service.Response, error) {
			cancel()
			return respond(ctx)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.server.URL+"/services/chairdesk/swap", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultClient.Do(request)
		Expect(err).To(MatchError(context.Canceled))
	}

	BeforeEach(func() { h = newHarness() })

	// Guards against an overcommitted executor, which may still be working on the request.
	It("keeps the slot in doubt when the executor never responds", func() {
		sendAndDisconnect(blockUntilCancelled)
		Consistently(h.releases, 50*time.Millisecond).Should(BeEmpty())
		h.clock.Advance(10 * time.Second)
		Eventually(h.releases).Should(HaveLen(1))
		expectReleases(h.releases(), false)
	})

	// Guards against slots that stay in doubt for the service's MaxDuration each time a
	// caller disconnects, which took away most slots when many callers gave up at once.
	It("frees the slot as soon as the executor responds", func() {
		responded := make(chan struct{})
		sendAndDisconnect(func(context.Context) (*service.Response, error) {
			<-responded
			return okResponse("swapped")
		})
		close(responded)
		Eventually(h.releases).Should(HaveLen(1))
		expectReleases(h.releases(), true)
	})
})
