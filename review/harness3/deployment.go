package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// deployment is a small deployment on loopback addresses: a store, executors and nodes.
type deployment struct {
	record    *record
	folder    string
	net       string
	store     *store
	executors []*executor
	nodes     []*node
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	queueHost   = "desk.example"
	queuePrefix = "/jobs/"
)

// newDeployment starts a store in a part of the loopback network that nothing listens on.
func newDeployment(rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, folder: folder}
	for range 50 {
		d.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 10+rand.IntN(200))
		if d.store, err = startStore(d.net+".2:8169", rec); err == nil {
			return d, nil
		}
	}
	return nil, err
}

// addExecutor adds an executor and starts it.
func (d *deployment) addExecutor(labels []string, w work) error {
	i := len(d.executors)
	e := newExecutor(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("%s.%d:8080", d.net, 100+i), zones[i%len(zones)], labels, d.store, w, d.record)
	d.executors = append(d.executors, e)
	return e.boot(labels)
}

// startNodes starts nodes and waits until all are ready.
func (d *deployment) startNodes(count int) error {
	command, err := deployCommand()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range count {
		n := &node{
			name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)],
			ip: fmt.Sprintf("%s.%d", d.net, 10+i), command: command, record: d.record,
		}
		n.settings, n.log = filepath.Join(d.folder, n.name+".toml"), filepath.Join(d.folder, n.name+".log")
		d.nodes = append(d.nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip, controlPort))
		}
	}
	for _, n := range d.nodes {
		if err := os.WriteFile(n.settings, []byte(n.settingsText(d.store.address, "", seeds)), 0o600); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if !waitFor(20*time.Second, n.isReady) {
			return fmt.Errorf("%s doesn't become ready", n.name)
		}
	}
	return nil
}

// putConfig writes the operator's configuration.
func (d *deployment) putConfig(maxAttempts int) {
	d.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-desk", "host": queueHost, "prefix": queuePrefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": 0, "service": executorService, "maxAttempts": maxAttempts, "slackFactor": 1.5, "allowedRegions": []string{},
		}},
		"services": []map[string]any{{"name": executorService, "admissionCheck": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	for _, e := range d.executors {
		e.close()
	}
	d.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// answer is the status of a response, or 0 if there was none, and its body.
type answer struct {
	status int
	body   string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return strconv.Itoa(a.status) + " " + a.body
}

// call sends a client's request to a node.
func (d *deployment) call(n *node, method, id string, body any, deadline time.Duration) answer {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+n.caller()+queuePrefix+id, content)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	d.record.line("client: %s %s to %s", method, id, n.name)
	var result answer
	if response, err := client.Do(request); err == nil {
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		result = answer{response.StatusCode, string(bytes.TrimSpace(text))}
	}
	d.record.line("client: %s %s at %s: %s", method, id, n.name, result)
	return result
}

func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func waitFor(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
