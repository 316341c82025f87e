package executor

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against bytes of a request that are sent after they were counted: the request
// would be reported as not run and could still run.
var _ = Describe("connection", func() {
	It("interrupts a write in progress when it is closed and sends nothing afterwards", func(_ SpecContext) {
		clientEnd, serverEnd := net.Pipe()
		DeferCleanup(serverEnd.Close)
		c := &connection{Conn: clientEnd}
		var group sync.WaitGroup
		group.Go(func() { _, _ = c.Write(make([]byte, 10)) })
		_, err := io.ReadFull(serverEnd, make([]byte, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.closeAndCount()).To(BeEquivalentTo(3))
		group.Wait()
		_, err = c.Write([]byte("late"))
		Expect(err).To(HaveOccurred())
		Expect(c.bytesSent()).To(BeEquivalentTo(3))
	}, NodeTimeout(5*time.Second))
})

// Guards against closing a connection that another request is using, after which it
// would be unknown whether that request ran.
var _ = Describe("openSet", func() {
	It("closes only idle connections that were dialed before the attempt", func() {
		set := &connectionSet{}
		dial := func() *connection {
			clientEnd, serverEnd := net.Pipe()
			DeferCleanup(serverEnd.Close)
			c := &connection{Conn: clientEnd, set: set}
			set.add(c, "executor")
			return c
		}
		idle, busy := dial(), dial()
		firstUse := set.beginUse(busy)
		set.beginUse(busy)
		set.endUse(busy, firstUse)
		newest := set.newest()
		newer := dial()
		set.closeIdle("executor", newest)
		Expect(set.byAddress["executor"]).To(And(HaveLen(2), HaveKey(busy), HaveKey(newer)))
		_, err := idle.Write([]byte("late"))
		Expect(err).To(HaveOccurred())
		Expect(busy.Close()).To(Succeed())
		Expect(newer.Close()).To(Succeed())
		Expect(set.byAddress).To(BeEmpty())
	})
})
