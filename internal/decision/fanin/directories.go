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
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b Instance) int { return compareFor(directoryPurpose, a, b) })
	var names []membership.InstanceID
	for _, directory := range all[:min(directoryCount, len(all))] {
		names = append(names, directory.Name)
	}
	return names
}
