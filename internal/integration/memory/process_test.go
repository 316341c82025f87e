package memory

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// startTimeout bounds the wait for a started process to serve callers.
	startTimeout = 30 * time.Second
	// exitTimeout bounds the wait for a killed process to end.
	exitTimeout = 10 * time.Second
)

// limits are the limits of the machine in the settings of the process under test.
type limits struct {
	memoryMB        int
	fileDescriptors int
}

// reservedDescriptors of a machine are for files, so that sockets share the others.
const reservedDescriptors = 200

// process is the process under test.
type process struct {
	limits
	command *exec.Cmd
	exited  chan struct{}
	log     string
	// descriptors is the number of open descriptors of the last sample, peakDescriptors the
	// largest one of all samples.
	descriptors, peakDescriptors int
}

// startProcess starts a command of the program until the end of the spec. Its output goes to
// a file.
func startProcess(l limits, environment []string, args ...string) *process {
	GinkgoHelper()
	output, err := os.CreateTemp(GinkgoT().TempDir(), "log")
	Expect(err).NotTo(HaveOccurred())
	p := &process{limits: l, command: exec.Command(program, args...), exited: make(chan struct{}), log: output.Name()}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = output, output
	Expect(p.command.Start()).To(Succeed())
	var group sync.WaitGroup
	group.Go(func() {
		defer close(p.exited)
		_ = p.command.Wait()
		_ = output.Close()
	})
	DeferCleanup(func() {
		_ = p.command.Process.Kill()
		Eventually(p.exited, exitTimeout).Should(BeClosed())
	})
	return p
}

// sample records the number of open descriptors and reports whether the process is alive.
func (p *process) sample() bool {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return false
	}
	p.descriptors = len(entries)
	p.peakDescriptors = max(p.peakDescriptors, p.descriptors)
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// expectWithinLimits expects that the process is alive and has stayed within the memory and
// the descriptors of its machine.
func (p *process) expectWithinLimits() {
	GinkgoHelper()
	Expect(p.sample()).To(BeTrue(), "the process has ended: %s", p.logTail())
	peak := p.peakMemoryKB()
	report := fmt.Sprintf("peak memory %d KB of %d MB, peak descriptors %d of %d for sockets",
		peak, p.memoryMB, p.peakDescriptors, p.fileDescriptors-reservedDescriptors)
	AddReportEntry("limits", report)
	Expect(peak <= p.memoryMB<<10 && p.peakDescriptors <= p.fileDescriptors-reservedDescriptors).To(BeTrue(), report)
}

// peakMemoryKB returns the largest resident set of the process so far.
func (p *process) peakMemoryKB() int {
	GinkgoHelper()
	status, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	defer status.Close()
	lines := bufio.NewScanner(status)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			var kilobytes int
			_, err := fmt.Sscan(value, &kilobytes)
			Expect(err).NotTo(HaveOccurred())
			return kilobytes
		}
	}
	Fail("the process has no VmHWM")
	return 0
}

// logTail returns the end of the process's output.
func (p *process) logTail() string {
	const maxTail = 4000
	content, _ := os.ReadFile(p.log)
	return string(content[max(0, len(content)-maxTail):])
}

// The ports are below the range that the operating system uses for outgoing connections.
const (
	firstPort = 12000
	lastPort  = 32000
)

// takenAddresses has the addresses that freeAddress has returned.
var takenAddresses sync.Map

// expectServing waits until the process answers an ordinary request.
func (p *process) expectServing(answersRequest func() error) {
	GinkgoHelper()
	Eventually(func() error {
		Expect(p.sample()).To(BeTrue(), "the process has ended: %s", p.logTail())
		return answersRequest()
	}).WithTimeout(startTimeout).WithPolling(100 * time.Millisecond).Should(Succeed())
}

// freeAddress returns a loopback address with an unused port, a different one each time.
func freeAddress() string {
	GinkgoHelper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort))
		if _, taken := takenAddresses.LoadOrStore(address, true); taken {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			Expect(listener.Close()).To(Succeed())
			return address
		}
	}
	Fail("no port is free")
	return ""
}
