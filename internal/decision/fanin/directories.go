package fanin

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// directoryCount is the number of instances that collect which instances are alive.
	directoryCount = 2
	// DirectoryInterval is the time between two calls of an instance to a directory. Each
	// directory must hear from each instance more often than the list forgets it.
	DirectoryInterval = 2 * time.Second
	directoryPurpose  = "directory"
)

// Directories returns the instances that collect which instances are alive: the first of those
// known for that purpose, in order.
func Directories(self Instance, others []Instance) []membership.InstanceID {
	return first(directoryPurpose, directoryCount, self, others)
}

// first returns the first instances for a purpose, in order.
func first(purpose string, count int, self Instance, others []Instance) []membership.InstanceID {
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b Instance) int { return compareFor(purpose, a, b) })
	var names []membership.InstanceID
	for _, instance := range all[:min(count, len(all))] {
		names = append(names, instance.Name)
	}
	return names
}
