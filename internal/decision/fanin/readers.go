package fanin

import "github.com/jacinthtrail/jacinthtrail/internal/platform/membership"

const (
	// listReaderCount is the number of instances that may follow the list of workers for the owners
	// of all shards: one, and another one that takes its place.
	listReaderCount = 2
	listPurpose     = "workers"
)

// ListReaders returns the instances that may follow the list of workers for the owners of all
// shards, in the order in which they are asked.
func ListReaders(self Instance, others []Instance) []membership.InstanceID {
	return first(listPurpose, listReaderCount, self, others)
}
