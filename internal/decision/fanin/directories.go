package fanin

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// directoryCount is the number of instances that collect which instances are alive, and
	// substituteCount the number of those that are asked when no directory answers.
	directoryCount  = 2
	substituteCount = 2
	// DirectoryInterval is the time between two calls of an instance to a directory. Each
	// directory must hear from each instance more often than the list forgets it.
	DirectoryInterval = 2 * time.Second
	directoryPurpose  = "directory"
)

// Directories returns the instances that collect which instances are alive: the first of those
// known for that purpose, in order, each from another availability zone if there are enough.
func Directories(self Instance, others []Instance) []membership.InstanceID {
	order := spread(ordered(directoryPurpose, self, others), directoryCount)
	return names(order)
}

// Substitutes returns the instances that take the place of directories that don't answer. All
// instances ask the same ones, from zones without a directory if there are enough, so that these
// soon know all instances.
func Substitutes(self Instance, others []Instance) []membership.InstanceID {
	order := spread(ordered(directoryPurpose, self, others), directoryCount+substituteCount)
	return names(order[min(directoryCount, len(order)):])
}

// spread returns the first instances of a list such that no zone comes again before each zone has
// come once more.
func spread(list []Instance, count int) []Instance {
	rest := slices.Clone(list)
	var chosen []Instance
	used := map[membership.Zone]bool{}
	for len(chosen) < count && len(rest) > 0 {
		i := slices.IndexFunc(rest, func(instance Instance) bool { return !used[instance.Zone] })
		if i < 0 {
			clear(used)
			continue
		}
		used[rest[i].Zone] = true
		chosen = append(chosen, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return chosen
}

// first returns the first instances for a purpose, in order.
func first(purpose string, count int, self Instance, others []Instance) []membership.InstanceID {
	all := ordered(purpose, self, others)
	return names(all[:min(count, len(all))])
}

// ordered returns all instances in their order for a purpose.
func ordered(purpose string, self Instance, others []Instance) []Instance {
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b Instance) int { return compareFor(purpose, a, b) })
	return all
}

func names(list []Instance) []membership.InstanceID {
	ids := make([]membership.InstanceID, len(list))
	for i, instance := range list {
		ids[i] = instance.Name
	}
	return ids
}
