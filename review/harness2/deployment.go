package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	deployFile = "deploy/system.toml"
	service    = "huvo11a"
	host       = "nony24.example"
	prefix     = "/lohu930/"
	// executorsPerZone is the number of executors in each zone, and rackSize that of a rack.
	executorsPerZone = 16
	rackSize         = 8
	restartDelay     = 2 * time.Second
	readyTimeout     = 15 * time.Second
	// graceTime is how long a process may take to end after SIGTERM: the bound graceS.
	graceTime = 6 * time.Second
)

var zones = []struct {
	name, region string
	instances    int
}{{"kzn-dbn", "kzn", 3}, {"wcape-fh", "wcape", 2}, {"kzn-bal", "kzn", 2}}

// instance is an entry instance, which runs as a separate process.
type instance struct {
	name, zone, region, ip string
	settings, log          string
	// ends counts how often the process ended by itself, and stopped that it was told to end.
	ends    int
	stopped bool
	// pid is the id of the process, 0 while it doesn't run.
	pid int
}

// deployment is a small deployment with stand-ins of all outside systems.
type deployment struct {
	record    *record
	random    *rand.Rand
	store     *store
	world     *world
	executors []*executor
	instances []*instance
	// ports are the ports of the callers, the readiness checks and the peers.
	ports     [3]int
	directory string
	run       []string
	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup

	lock sync.Mutex
}

func newDeployment(ctx context.Context, r *record, random *rand.Rand) (*deployment, error) {
	d := &deployment{record: r, random: random, store: newStore(r), world: newWorld(r)}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.prepare(); err != nil {
		d.close()
		return nil, err
	}
	for _, i := range d.instances {
		d.group.Go(func() { d.supervise(i) })
	}
	if err := d.awaitReady(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// prepare creates the executors, the configuration and the settings files.
func (d *deployment) prepare() error {
	var file struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile(deployFile, &file); err != nil {
		return err
	}
	d.run = strings.Fields(file.Roles["entry"].Run)
	if len(d.run) == 0 {
		return errors.New("the deploy file has no role entry")
	}
	if _, err := os.Stat(d.run[0]); err != nil {
		return err
	}
	var err error
	if d.directory, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	d.store.put("op", "", "config", []byte(configuration))
	for _, z := range zones {
		for i := range executorsPerZone {
			e, err := newExecutor(fmt.Sprintf("i-%08x", d.random.Uint32()), z.name, fmt.Sprintf("r1-%d", i/rackSize), d.world)
			if err != nil {
				return err
			}
			d.executors = append(d.executors, e)
			d.group.Go(func() { d.runExecutor(e) })
		}
	}
	return d.createInstances()
}

// configuration is the operator's configuration.
const configuration = `{"version":7,"routes":[{"name":"r-3hwrr6x","host":"nony24.example","prefix":"/lohu930/","kind":"unsafe","timeoutMs":3000,` +
	`"targetLatencyMs":1000,"priority":0,"service":"huvo11a","maxAttempts":2,"slackFactor":2.0,"allowedRegions":[]}],` +
	`"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,` +
	`"admissionCheck":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// createInstances gives each instance an address of its own with the same ports.
func (d *deployment) createInstances() error {
	second, third := 64+rand.IntN(128), 1+rand.IntN(250)
	for i := range d.ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", second, third))
		if err != nil {
			return err
		}
		d.ports[i] = listener.Addr().(*net.TCPAddr).Port
		defer listener.Close()
	}
	for _, z := range zones {
		for n := range z.instances {
			name := fmt.Sprintf("frontend-%s-%d", z.name, n+1)
			d.instances = append(d.instances, &instance{
				name: name, zone: z.name, region: z.region, ip: fmt.Sprintf("127.%d.%d.%d", second, third, 10+len(d.instances)),
				settings: filepath.Join(d.directory, name+".toml"), log: filepath.Join(d.directory, name+".log"),
			})
		}
	}
	for _, i := range d.instances {
		if err := os.WriteFile(i.settings, []byte(d.settingsOf(i)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) settingsOf(i *instance) string {
	var seeds []string
	for _, at := range []int{0, 3, 5} {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.instances[at].ip, d.ports[2])))
	}
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "frontend"
serves = ["frontend","control"]
ip = %q
zone = %q
region = %q
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
commands = "invocation"
[zones]
kzn-dbn = "kzn"
wcape-fh = "wcape"
kzn-bal = "kzn"
[listen]
frontend = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.16
cores = 1
totalMemoryMb = 284
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2500
graceS = 6
configApplyMs = 2500
evacuationMs = 5000
holdMaxMs = 6000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
[platform]
address = %q
form = "table"
writesPerS = 600
readsPerS = 2000
transactionMs = 5.0
partitionWritesS = 200
rowBytes = 65536
across = false
historyS = 20
`, i.name, i.ip, i.zone, i.region, strings.Join(seeds, ","), i.ip, d.ports[0], i.ip, d.ports[1], i.ip, d.ports[2], d.store.address())
}

// runExecutor advances an executor and writes its entry until the deployment ends.
func (d *deployment) runExecutor(e *executor) {
	ticker := time.NewTicker(executorTick)
	defer ticker.Stop()
	var written time.Time
	for {
		if time.Since(written) >= heartbeat {
			written = time.Now()
			d.store.put("servers", "", e.id, e.entry(service))
		}
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			e.tick()
		}
	}
}

// supervise starts a process, and starts it again when it has ended, as the platform does.
func (d *deployment) supervise(i *instance) {
	for d.ctx.Err() == nil {
		err := d.runInstance(i)
		if d.ctx.Err() != nil {
			return
		}
		if d.recordEnd(i) {
			d.record.write("%s ended by itself (number %d): %v; %s", i.name, i.ends, err, panicOf(i.log))
		} else {
			d.record.write("%s has stopped: %v", i.name, err)
		}
		select {
		case <-d.ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

// recordEnd reports whether the process ended by itself, and counts that.
func (d *deployment) recordEnd(i *instance) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if i.stopped {
		i.stopped = false
		return false
	}
	i.ends++
	return true
}

// terminate sends SIGTERM to a process, and SIGKILL if it hasn't ended after graceTime.
func (d *deployment) terminate(i *instance) {
	d.lock.Lock()
	pid := i.pid
	i.stopped = pid != 0
	d.lock.Unlock()
	if pid == 0 {
		return
	}
	d.record.write("SIGTERM to %s", i.name)
	_ = syscall.Kill(pid, syscall.SIGTERM)
	d.group.Go(func() {
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(graceTime):
		}
		d.lock.Lock()
		defer d.lock.Unlock()
		if i.pid == pid {
			d.record.write("SIGKILL to %s", i.name)
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	})
}

// runInstance runs a process until it ends or the deployment does.
func (d *deployment) runInstance(i *instance) error {
	output, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.CommandContext(d.ctx, d.run[0], d.run[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "JACINTHTRAIL_CONFIG=" + i.settings}
	command.Stdout, command.Stderr = output, output
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGKILL) }
	if err := command.Start(); err != nil {
		return err
	}
	d.setPID(i, command.Process.Pid)
	defer d.setPID(i, 0)
	d.record.write("%s starts", i.name)
	return command.Wait()
}

func (d *deployment) setPID(i *instance, pid int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	i.pid = pid
}

// panicOf returns the last panic in a log.
func panicOf(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	last := "no panic in its log"
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "panic:") {
			last = strings.TrimSpace(line)
		}
	}
	return last
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range d.instances {
		for !d.isReady(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready: %s", i.name, panicOf(i.log))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) isReady(i *instance) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", i.ip, d.ports[1]))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// frontend returns the address of a random instance for callers.
func (d *deployment) frontend() (name, address string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	i := d.instances[d.random.IntN(len(d.instances))]
	return i.name, fmt.Sprintf("%s:%d", i.ip, d.ports[0])
}

// close ends all processes and servers.
func (d *deployment) close() {
	d.cancel()
	d.group.Wait()
	for _, e := range d.executors {
		_ = e.server.Close()
	}
	d.store.CloseClientConnections()
	d.store.Close()
	if d.directory != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.directory)
	}
}
