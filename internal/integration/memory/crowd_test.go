package memory

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 400
	// bodyBytes is the size of a body, the largest that the configuration allows. The
	// crowd's bodies stop short of their end by missingBytes.
	bodyBytes    = 262144
	missingBytes = 40
	// pieceBytes is the size of the pieces of a body that is sent piece by piece.
	pieceBytes = 8 << 10
	// headerBytes is the size of a header that never ends.
	headerBytes = 512 << 10
	// pipelinedQueries is the number of queries that a connection sends without reading
	// an answer.
	pipelinedQueries = 2000
	// writeTimeout bounds the time for which a connection of the crowd tries to send.
	writeTimeout = 30 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 10 * time.Second
)

// message is what each connection of a crowd sends, in pieces, before it stays open.
type message [][]byte

// wholeBody returns a request whose body stops just short of its end.
func wholeBody(method, host, path string) message {
	return message{append(requestHead(method, host, path, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)), unfinishedBody()...)}
}

// piecewiseBody returns a request whose body is sent piece by piece.
func piecewiseBody(method, host, path string) message {
	m := message{requestHead(method, host, path, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))}
	body := unfinishedBody()
	for len(body) > 0 {
		n := min(pieceBytes, len(body))
		m, body = append(m, body[:n]), body[n:]
	}
	return m
}

// oneChunk returns a request whose body is one chunk that stops just short of its end.
func oneChunk(method, host, path string) message {
	head := requestHead(method, host, path, "Transfer-Encoding: chunked\r\n")
	head = fmt.Appendf(head, "%x\r\n", bodyBytes)
	return message{append(head, unfinishedBody()...)}
}

// smallChunks returns a request whose body consists of chunks of one byte, the last of which is
// missing.
func smallChunks(method, host, path string) message {
	head := requestHead(method, host, path, "Transfer-Encoding: chunked\r\n")
	return message{append(head, bytes.Repeat([]byte("1\r\n \r\n"), bodyBytes-missingBytes)...)}
}

// manySteps returns a submission that is complete and has many more steps than a job may have, as
// a body of the largest size.
func manySteps(host, path string) message {
	const step = "{},"
	body := `{"spec":"s","steps":[` + strings.Repeat(step, (bodyBytes-missingBytes)/len(step)) + `{}]}`
	return message{append(requestHead("POST", host, path, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body...)}
}

// endlessHeader returns a request whose header doesn't end.
func endlessHeader(method, host, path string) message {
	head := bytes.TrimSuffix(requestHead(method, host, path, ""), []byte("\r\n"))
	line := strings.Repeat("v", 1000)
	for i := 0; len(head) < headerBytes; i++ {
		head = fmt.Appendf(head, "X-Line-%d: %s\r\n", i, line)
	}
	return message{head}
}

const (
	// unfinishedHeaderBytes is less than what the process reads of a header before it refuses it as too large,
	// finishedHeaderBytes is about what it takes.
	unfinishedHeaderBytes = 60 << 10
	finishedHeaderBytes   = 19 << 10
)

// tinyLines returns the beginning of a request whose header consists of as many distinct lines as its
// size allows.
func tinyLines(method, host, path string, size int) []byte {
	head := bytes.TrimSuffix(requestHead(method, host, path, ""), []byte("\r\n"))
	for i := 0; len(head) < size; i++ {
		head = fmt.Appendf(head, "%x:\r\n", i)
	}
	return head
}

// unfinishedTinyLines returns a request whose header of tiny lines doesn't end.
func unfinishedTinyLines(method, host, path string) message {
	return message{tinyLines(method, host, path, unfinishedHeaderBytes)}
}

// finishedTinyLines returns a request whose header of tiny lines is complete, and whose body is missing.
func finishedTinyLines(method, host, path string) message {
	head := bytes.TrimSuffix(requestHead(method, host, path, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)), []byte("\r\n"))
	lines := tinyLines(method, host, path, finishedHeaderBytes-len(head))
	_, lines, _ = bytes.Cut(lines, []byte("X-Deadline-Ms: 3600000\r\n"))
	return message{append(append(head, lines...), "\r\n"...)}
}

// pipelined returns queries of which no answer is read.
func pipelined(method, host, path string) message {
	return message{bytes.Repeat(requestHead(method, host, path, ""), pipelinedQueries)}
}

// unfinishedFrame returns a message between instances that stops just short of its end.
func unfinishedFrame() message {
	const frameBytes = 1 << 20
	frame := binary.AppendUvarint(nil, frameBytes)
	return message{append(frame, bytes.Repeat([]byte(" "), frameBytes-missingBytes)...)}
}

// nothing is the message of a connection that stays open without sending anything.
var nothing message

func requestHead(method, host, path, fields string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3600000\r\n%s\r\n", method, path, host, fields)
}

func unfinishedBody() []byte {
	return bytes.Repeat([]byte(" "), bodyBytes-missingBytes)
}

// crowd is a set of connections that stay open.
type crowd struct {
	group sync.WaitGroup
	done  chan struct{}

	lock        sync.Mutex
	connections []net.Conn
	// begun counts the connections that were opened and, if there is a message, took some of it.
	begun int
}

// minBegun is how many connections of a crowd begin at least, although the process may close any of them.
const minBegun = crowdSize * 3 / 4

// openCrowd opens the connections, on each of which it sends the message as far as the process
// takes it, and leaves them open until close is called.
func openCrowd(addresses []string, m message) *crowd {
	GinkgoHelper()
	c := &crowd{done: make(chan struct{})}
	for n := range crowdSize {
		c.group.Go(func() { c.open(addresses[n%len(addresses)], m) })
	}
	var waiter sync.WaitGroup
	waiter.Go(func() {
		c.group.Wait()
		close(c.done)
	})
	DeferCleanup(c.close)
	return c
}

// open opens a connection. The process may refuse or close it at any time.
func (c *crowd) open(address string, m message) {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	c.lock.Lock()
	c.connections = append(c.connections, connection)
	c.lock.Unlock()
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(m) == 0 {
		c.countBegun()
	}
	for i, piece := range m {
		n, err := connection.Write(piece)
		if i == 0 && n > 0 {
			c.countBegun()
		}
		if err != nil {
			return
		}
	}
}

func (c *crowd) countBegun() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.begun++
}

// expectBegun expects that enough connections of the crowd were opened and written to.
func (c *crowd) expectBegun() {
	GinkgoHelper()
	c.lock.Lock()
	defer c.lock.Unlock()
	AddReportEntry("crowd", fmt.Sprintf("%d of %d connections have begun", c.begun, crowdSize))
	Expect(c.begun).To(BeNumerically(">=", minBegun), "connections of the crowd that have begun")
}

// close closes all connections.
func (c *crowd) close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

// expectBorne opens a crowd and expects that the process stays within its limits, answers an
// ordinary request while the crowd is open, and answers another one after it has left.
func expectBorne(p *process, addresses []string, m message, answersRequest func() error) {
	GinkgoHelper()
	c := openCrowd(addresses, m)
	Eventually(func() bool {
		Expect(p.sample()).To(BeTrue(), "the process has ended: %s", p.logTail())
		select {
		case <-c.done:
			return true
		default:
			return false
		}
	}).WithTimeout(dialTimeout + writeTimeout + time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
	c.expectBegun()
	settle(p, addresses)
	expectAnswer(p, answersRequest)
	p.expectWithinLimits()
	c.close()
	expectAnswer(p, answersRequest)
	p.expectWithinLimits()
}

const (
	// settledSamples is the number of equal samples after which a process counts as settled.
	settledSamples = 10
	// settleTimeout bounds the wait for the process to settle.
	settleTimeout = 15 * time.Second
	samplePause   = 20 * time.Millisecond
)

// settle waits until the process has read what the crowd sent and opens and closes no more
// connections. A process that leaves something unread is given up on after settleTimeout.
func settle(p *process, addresses []string) {
	GinkgoHelper()
	deadline := time.Now().Add(settleTimeout)
	last, equal := 0, 0
	for equal < settledSamples && time.Now().Before(deadline) {
		Expect(p.sample()).To(BeTrue(), "the process has ended: %s", p.logTail())
		if p.descriptors != last || unreadBytes(addresses) {
			equal = 0
		}
		last = p.descriptors
		equal++
		time.Sleep(samplePause)
	}
}

// unreadBytes reports whether a connection to one of the addresses has bytes that were received
// and not read.
func unreadBytes(addresses []string) bool {
	GinkgoHelper()
	content, err := os.ReadFile("/proc/net/tcp")
	Expect(err).NotTo(HaveOccurred())
	ports := map[string]bool{}
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address)
		Expect(err).NotTo(HaveOccurred())
		number, err := strconv.Atoi(port)
		Expect(err).NotTo(HaveOccurred())
		ports[fmt.Sprintf("%04X", number)] = true
	}
	for line := range strings.Lines(string(content)) {
		// The fields are the number, the local and the remote address, the state and the queues.
		fields := strings.Fields(line)
		const established = "01"
		if len(fields) < 5 || fields[3] != established {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, unread, _ := strings.Cut(fields[4], ":")
		if ports[port] && strings.Trim(unread, "0") != "" {
			return true
		}
	}
	return false
}

// answerTimeout bounds the wait for the answer to an ordinary request. The caller repeats a
// request that is refused.
const answerTimeout = 60 * time.Second

func expectAnswer(p *process, answersRequest func() error) {
	GinkgoHelper()
	Eventually(func() error {
		Expect(p.sample()).To(BeTrue(), "the process has ended: %s", p.logTail())
		return answersRequest()
	}).WithTimeout(answerTimeout).WithPolling(100 * time.Millisecond).Should(Succeed())
}
