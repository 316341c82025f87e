package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// manyLines returns lines of a header, each as short as it can be.
func manyLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// liveBytes returns the memory that a decoded header holds.
func liveBytes(text string) Bytes {
	GinkgoHelper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	Expect(err).NotTo(HaveOccurred())
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(r)
	return Bytes(after.HeapAlloc) - Bytes(before.HeapAlloc)
}

var _ = Describe("A header", func() {
	DescribeTable("costs no more than is taken for it", func(lines string) {
		text := "GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n"
		var h headerScan
		Expect(h.add([]byte(text))).To(BeNumerically(">=", liveBytes(text)))
	},
		Entry("of 20 KiB of very short lines", manyLines(20<<10)),
		Entry("of 64 KiB of very short lines", manyLines(64<<10)),
		Entry("of 1 KiB of very short lines", manyLines(1<<10)),
		Entry("of one line of 20 KiB", "x: "+strings.Repeat("y", 20<<10)+"\r\n"),
	)
	It("is followed over parts of any size, up to its end", func() {
		text := "GET / HTTP/1.1\r\nHost: h\r\n" + manyLines(1000) + "\r\n"
		var whole, parts headerScan
		taken := whole.add([]byte(text + "\n\n\nbody"))
		sum := Bytes(0)
		for i := range len(text) {
			sum += parts.add([]byte(text[i : i+1]))
		}
		Expect(parts).To(Equal(whole))
		Expect(whole.ended).To(BeTrue())
		Expect(whole.bytes).To(Equal(len(text)))
		Expect(taken - sum).To(Equal(Bytes(len("\n\n\nbody"))))
	})
	It("ends its connection when there is no memory for its lines", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(128 << 10)})
		Expect(f.Budget.NewLease(func() {}).Take(time.Now(), 1)).To(Succeed())
		expectClosed(f.open("GET / HTTP/1.1\r\nHost: h\r\n" + manyLines(12<<10)))
		Expect(f.counters.Value("Intake.Test.Refused.HeaderMemory")).To(Equal(int64(1)))
	})
	It("takes memory for its lines although its first bytes came with the request before it", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(256 << 10)})
		Expect(f.Budget.NewLease(func() {}).Take(time.Now(), 1)).To(Succeed())
		c := f.open(wholePost + "GET / HTTP/1.1\r\nHost: h\r")
		expectStatus(c, http.StatusOK)
		_, err := io.WriteString(c, "\n"+manyLines(18<<10))
		Expect(err).NotTo(HaveOccurred())
		expectClosed(c)
		Expect(f.counters.Value("Intake.Test.Refused.HeaderMemory")).To(Equal(int64(1)))
	})
	It("is refused when it has more bytes than the limit, although it doesn't end", func() {
		f := startPort(GinkgoTB(), &Port{})
		expectStatus(f.open("GET / HTTP/1.1\r\nHost: h\r\n"+manyLines(21<<10)), http.StatusRequestHeaderFieldsTooLarge)
		Expect(f.counters.Value("Intake.Test.Refused.HeaderTooLarge")).To(Equal(int64(1)))
	})
	It("closes its connection if it was ended at the moment in which it had arrived", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(1 << 20)})
		handled := false
		handler := f.bound(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }))
		c := &connection{port: f.Port, lease: f.Budget.NewLease(func() {})}
		c.lease.Reading(time.Now())
		Expect(c.lease.Take(time.Now(), 600<<10)).To(Succeed())
		Expect(f.Budget.NewLease(func() {}).Take(time.Now().Add(minReadingTime), 600<<10)).To(Succeed())
		f.trackState(c, http.StateActive)
		Expect(func() { handler.ServeHTTP(nil, requestOn(c)) }).To(PanicWith(http.ErrAbortHandler))
		Expect(handled).To(BeFalse())
	})
	It("lets its request go on if it wasn't ended", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(1 << 20)})
		handled := false
		handler := f.bound(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }))
		c := &connection{port: f.Port, lease: f.Budget.NewLease(func() {})}
		c.lease.Reading(time.Now())
		f.trackState(c, http.StateActive)
		handler.ServeHTTP(nil, requestOn(c))
		Expect(handled).To(BeTrue())
	})
})

// requestOn returns a request without a body that has arrived on a connection.
func requestOn(c *connection) *http.Request {
	r, err := http.NewRequestWithContext(context.WithValue(context.Background(), connectionKey{}, c), http.MethodGet, "/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	return r
}
