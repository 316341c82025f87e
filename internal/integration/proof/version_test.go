package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// versionMonitor records the manifest versions that the instances report.
type versionMonitor struct {
	mu           sync.Mutex
	latest       map[string]manifest.Version
	contentMarks map[manifest.Version]int
	failures     []string
}

// monitorVersions polls GET /manifest of each instance of the deployment until the end of the
// spec. The spec fails if an instance reports a lower version than before or if one version has
// two different contents.
func monitorVersions(d *deployment) *versionMonitor {
	w := &versionMonitor{latest: map[string]manifest.Version{}, contentMarks: map[manifest.Version]int{}}
	for id, e := range d.entries {
		w.pollVersions(id, e)
	}
	DeferCleanup(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.failures).To(BeEmpty())
	})
	return w
}

// pollVersions polls the manifest of an instance until the end of the spec.
func (w *versionMonitor) pollVersions(id string, e *entryProcess) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	DeferCleanup(func() {
		cancel()
		group.Wait()
	})
	client := e.control()
	client.HTTP = &http.Client{Timeout: statusTimeout}
	group.Go(func() {
		ticker := time.NewTicker(versionPollInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			if published, err := client.Manifest(ctx); err == nil {
				w.record(id, published)
			}
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	})
}

func (w *versionMonitor) record(id string, p manifest.Published) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Version < w.latest[id] {
		w.failures = append(w.failures, fmt.Sprintf("%s went from version %d to %d", id, w.latest[id], p.Version))
	}
	w.latest[id] = p.Version
	mark := p.Manifest.Limits.MaxQueuedJobs
	if known, seen := w.contentMarks[p.Version]; seen && known != mark {
		w.failures = append(w.failures, fmt.Sprintf("version %d has two contents, %d and %d", p.Version, known, mark))
	}
	w.contentMarks[p.Version] = mark
}

func (w *versionMonitor) latestVersion(id string) manifest.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest[id]
}

func (w *versionMonitor) contentMark(v manifest.Version) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contentMarks[v]
}
