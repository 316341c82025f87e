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

// feed is a scripted feed: the test writes lines to the executor's end.
type feed struct {
	harness  *harness
	executor *io.PipeWriter
	lines    *bufio.Reader
	response *http.Response
}

func openFeed(b *harness) *feed {
	reader, writer := io.Pipe()
	b.respond = func(ctx context.Context, _ int) (*service.Response, error) {
		context.AfterFunc(ctx, func() { writer.CloseWithError(ctx.Err()) })
		return &service.Response{StatusCode: http.StatusOK, Body: reader}, nil
	}
	request, err := http.NewRequest(http.MethodGet, b.server.URL+"/services/chairdesk/roster", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(service.HeaderFeed, "true")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return &feed{harness: b, executor: writer, lines: bufio.NewReader(response.Body), response: response}
}

func (f *feed) expectLine(line string) {
	GinkgoHelper()
	_, err := io.WriteString(f.executor, line)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.lines.ReadString('\n')).To(Equal(line))
}

var _ = Describe("Feeds", func() {
	var b *harness
	BeforeEach(func() { b = newHarness() })

	It("passes each line on at once, against a roster that lags behind", func() {
		f := openFeed(b)
		f.expectLine("chair 1\n")
		f.expectLine("chair 2\n")
		Expect(f.executor.Close()).To(Succeed())
		Expect(io.ReadAll(f.lines)).To(BeEmpty())
		Eventually(b.releases).Should(HaveLen(1))
		expectReleases(b.releases(), true)
	})

	It("ends cleanly between lines at the maximum duration", func() {
		f := openFeed(b)
		f.expectLine("chair 1\n")
		b.clock.Advance(time.Minute)
		Expect(io.ReadAll(f.lines)).To(BeEmpty())
	})

	It("aborts a feed that breaks, against an end that looks clean", func() {
		f := openFeed(b)
		f.expectLine("chair 1\n")
		f.executor.CloseWithError(errors.New("reset"))
		_, err := io.ReadAll(f.lines)
		Expect(err).To(HaveOccurred())
	})

	It("drains without cutting a feed off and refuses new requests", func() {
		f := openFeed(b)
		f.expectLine("chair 1\n")
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(b.handler.Drain(expired)).To(MatchError(context.Canceled))
		response, _, err := b.post("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, service.ReasonDraining)
		f.expectLine("chair 2\n")
		Expect(f.executor.Close()).To(Succeed())
		Expect(io.ReadAll(f.lines)).To(BeEmpty())
		Expect(b.handler.Drain(context.Background())).To(Succeed())
	})
})

var _ = Describe("A caller that leaves", func() {
	var b *harness

	// leave sends a request whose caller leaves once the executor has it.
	leave := func(answer func(ctx context.Context) (*service.Response, error)) {
		GinkgoHelper()
		ctx, cancel := context.WithCancel(context.Background())
		b.respond = func(ctx context.Context, _ int) (*service.Response, error) {
			cancel()
			return answer(ctx)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.server.URL+"/services/chairdesk/swap", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultClient.Do(request)
		Expect(err).To(MatchError(context.Canceled))
	}

	BeforeEach(func() { b = newHarness() })

	// Guards against an overcommitted executor: it may still work on the request.
	It("leaves the slot in doubt when the executor never answers", func() {
		leave(blockUntilCancelled)
		Consistently(b.releases, 50*time.Millisecond).Should(BeEmpty())
		b.clock.Advance(10 * time.Second)
		Eventually(b.releases).Should(HaveLen(1))
		expectReleases(b.releases(), false)
	})

	// Guards against slots that stay in doubt for the longest request each time a
	// caller leaves, which took most slots away under a burst of impatient callers.
	It("frees the slot as soon as the executor answers", func() {
		answered := make(chan struct{})
		leave(func(context.Context) (*service.Response, error) {
			<-answered
			return okResponse("swapped")
		})
		close(answered)
		Eventually(b.releases).Should(HaveLen(1))
		expectReleases(b.releases(), true)
	})
})
