package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// processStartTimeout is the time within which a process must print its addresses.
const processStartTimeout = 10 * time.Second

// process is a running command of the program.
type process struct {
	session *gexec.Session
	log     *lockedBuffer
	// readyLine is the line of JSON that the process printed when it was ready.
	readyLine []byte
}

// lockedBuffer collects the output of a process and can be read while the process writes to it.
type lockedBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

// start runs a command of the program under test until the end of the spec and decodes its first
// line of output into ready.
func start(ready any, args ...string) *process {
	GinkgoHelper()
	return startProgram(binary, ready, args...)
}

// startProgram is start for the program at the given path.
func startProgram(program string, ready any, args ...string) *process {
	GinkgoHelper()
	log := &lockedBuffer{}
	command := exec.Command(program, args...)
	session, err := gexec.Start(command, nil, log)
	Expect(err).NotTo(HaveOccurred())
	p := &process{session: session, log: log}
	DeferCleanup(p.kill)
	Eventually(func() bool {
		return bytes.ContainsRune(session.Out.Contents(), '\n') || session.ExitCode() >= 0
	}).WithTimeout(processStartTimeout).Should(BeTrue(), "%v did not start", args)
	line, _, found := bytes.Cut(session.Out.Contents(), []byte("\n"))
	Expect(found).To(BeTrue(), "%v exited before it was ready: %s", args, log)
	p.readyLine = line
	Expect(json.Unmarshal(line, ready)).To(Succeed())
	AddReportEntry(fmt.Sprint(args), ReportEntryVisibilityFailureOrVerbose, log)
	return p
}

// kill kills the process, as a crash does.
func (p *process) kill() {
	p.session.Kill().Wait(processStartTimeout)
}

// terminate asks the process to stop gracefully.
func (p *process) terminate() {
	p.session.Terminate()
}

// freeze suspends the process with SIGSTOP, which the process can't notice.
func (p *process) freeze() {
	GinkgoHelper()
	Expect(p.signal(syscall.SIGSTOP)).To(Succeed())
	DeferCleanup(func() { _ = p.signal(syscall.SIGCONT) })
}

// thaw resumes a frozen process.
func (p *process) thaw() {
	GinkgoHelper()
	Expect(p.signal(syscall.SIGCONT)).To(Succeed())
}

func (p *process) signal(s os.Signal) error {
	return p.session.Command.Process.Signal(s)
}
