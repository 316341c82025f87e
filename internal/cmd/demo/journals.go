package demo

import (
	"fmt"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/deployment"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// violations reads the journals of the workers and executors.
func violations(d *deployment.Deployment) []string {
	var found []string
	for _, e := range d.Executors {
		for _, event := range e.Journal.Entries() {
			if event.Kind == executor.EventViolation {
				found = append(found, fmt.Sprintf("executor %s was given more %s than it has", event.Executor, event.Reason))
			}
		}
	}
	finished := map[protocol.TaskID]membership.InstanceID{}
	for _, w := range d.Workers {
		for _, event := range w.Journal.Entries() {
			if event.Kind == worker.EventOvercommit {
				found = append(found, fmt.Sprintf("worker %s was given more than it has", event.Worker))
			}
			if event.Kind != worker.EventFinish || event.State != protocol.Succeeded {
				continue
			}
			if other, again := finished[event.Task]; again {
				found = append(found, fmt.Sprintf("task %s finished on %s and on %s", event.Task, other, event.Worker))
			}
			finished[event.Task] = event.Worker
		}
	}
	return found
}
