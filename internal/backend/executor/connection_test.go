package executor

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a request that leaves after the count was taken: it would be
// reported as not run and run nevertheless.
var _ = Describe("connection", func() {
	It("ends a write in progress when it retires, and sends nothing later", func(_ SpecContext) {
		near, far := net.Pipe()
		DeferCleanup(far.Close)
		c := &connection{Conn: near}
		var group sync.WaitGroup
		group.Go(func() { _, _ = c.Write(make([]byte, 10)) })
		_, err := io.ReadFull(far, make([]byte, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.retire()).To(BeEquivalentTo(3))
		group.Wait()
		_, err = c.Write([]byte("late"))
		Expect(err).To(HaveOccurred())
		Expect(c.count()).To(BeEquivalentTo(3))
	}, NodeTimeout(5*time.Second))
})

// Guards against closing a connection that another request uses, which would leave
// open whether that request ran.
var _ = Describe("openSet", func() {
	It("retires only idle connections that are old enough", func() {
		open := &openSet{}
		dial := func() *connection {
			near, far := net.Pipe()
			DeferCleanup(far.Close)
			c := &connection{Conn: near, open: open}
			open.add(c, "executor")
			return c
		}
		idle, busy := dial(), dial()
		first := open.begin(busy)
		open.begin(busy)
		open.end(busy, first)
		mark := open.mark()
		young := dial()
		open.retireIdle("executor", mark)
		Expect(open.byAddress["executor"]).To(And(HaveLen(2), HaveKey(busy), HaveKey(young)))
		_, err := idle.Write([]byte("late"))
		Expect(err).To(HaveOccurred())
		Expect(busy.Close()).To(Succeed())
		Expect(young.Close()).To(Succeed())
		Expect(open.byAddress).To(BeEmpty())
	})
})
