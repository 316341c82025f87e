package demo

import (
	"fmt"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/deployment"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// violations returns the broken guarantees that the journals of the workers and
// executors show: a backend server was given more than its capacity, or a task finished
// twice.
func violations(d *deployment.Deployment) []string {
	var found []string
	for _, e := range d.Executors {
		for _, event := range e.Journal.Entries() {
			if event.Kind == executor.EventViolation {
				found = append(found, fmt.Sprintf("executor %s was given more than its limit of %s", event.Executor, event.Reason))
			}
		}
	}
	finished := map[protocol.TaskID]membership.InstanceID{}
	for _, w := range d.Workers {
		for _, event := range w.Journal.Entries() {
			if event.Kind == worker.EventOvercommit {
				found = append(found, fmt.Sprintf("worker %s was given more than its capacity", event.Worker))
			}
			if event.Kind != worker.EventFinish || event.State != protocol.Succeeded {
				continue
			}
			if earlier, finishedBefore := finished[event.Task]; finishedBefore {
				found = append(found, fmt.Sprintf("task %s finished twice, on %s and on %s", event.Task, earlier, event.Worker))
			}
			finished[event.Task] = event.Worker
		}
	}
	return found
}
