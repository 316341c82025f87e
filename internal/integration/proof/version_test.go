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

// versionWatch collects the versions that instances report.
type versionWatch struct {
	mu       sync.Mutex
	latest   map[string]manifest.Version
	marks    map[manifest.Version]int
	failures []string
}

// watchVersions looks at GET /manifest of each instance of the deployment until the
// end of the spec, which fails if a version went down anywhere or if a version had
// two contents.
func watchVersions(d *deployment) *versionWatch {
	w := &versionWatch{latest: map[string]manifest.Version{}, marks: map[manifest.Version]int{}}
	for id, e := range d.entries {
		w.follow(id, e)
	}
	DeferCleanup(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.failures).To(BeEmpty())
	})
	return w
}

// follow watches an instance until the end of the spec.
func (w *versionWatch) follow(id string, e *entryProcess) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	DeferCleanup(func() {
		cancel()
		group.Wait()
	})
	client := e.control()
	client.HTTP = &http.Client{Timeout: showTimeout}
	group.Go(func() {
		ticker := time.NewTicker(versionPoll)
		defer ticker.Stop()
		for ctx.Err() == nil {
			if published, err := client.Manifest(ctx); err == nil {
				w.saw(id, published)
			}
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	})
}

func (w *versionWatch) saw(id string, p manifest.Published) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Version < w.latest[id] {
		w.failures = append(w.failures, fmt.Sprintf("%s went from version %d to %d", id, w.latest[id], p.Version))
	}
	w.latest[id] = p.Version
	mark := p.Manifest.Limits.MaxQueuedJobs
	if known, seen := w.marks[p.Version]; seen && known != mark {
		w.failures = append(w.failures, fmt.Sprintf("version %d has two contents, %d and %d", p.Version, known, mark))
	}
	w.marks[p.Version] = mark
}

func (w *versionWatch) last(id string) manifest.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest[id]
}

func (w *versionWatch) mark(v manifest.Version) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.marks[v]
}
