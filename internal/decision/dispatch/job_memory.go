package dispatch

import (
	"unsafe"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// jobMemory is what an owner needs for a job besides its steps and tasks: with its entries in maps and
	// in the copy of the job's row.
	jobMemory resource.Bytes = 4 << 10
	// stepMemory is what it needs for a step besides its dependencies and tasks.
	stepMemory = resource.Bytes(2*unsafe.Sizeof(Step{})+unsafe.Sizeof(step{})+unsafe.Sizeof(task{})) + 512
	// recordMemory is what it needs for the record of a task, with its run.
	recordMemory = resource.Bytes(unsafe.Sizeof(task{})+unsafe.Sizeof(attempt{})) + 256
	// taskMemory is what it needs for a task without a record, and unopenedMemory for an occurrence that
	// isn't open.
	taskMemory     resource.Bytes = 16
	unopenedMemory resource.Bytes = 16
	// textCopies is the number of copies of a job's texts, those in its encoded row included.
	textCopies = 2
	// finishedJobMemory is what an owner needs for the outcome of a job.
	finishedJobMemory resource.Bytes = 256
)

// smallJobMemory is the most that a small job needs. Nearly all jobs are small.
const smallJobMemory resource.Bytes = 32 << 10

// LargestJobMemory is more than a job needs whose steps have no long texts.
const LargestJobMemory resource.Bytes = 256 << 10

// MemoryLimit is the memory that the jobs of an instance may take. 0 means no limit. The last part of it is for
// new small jobs, the part before for stored jobs of shards that the instance takes over.
type MemoryLimit resource.Bytes

// Accepts reports whether an instance whose jobs need the given memory may accept a job.
func (l MemoryLimit) Accepts(used, job resource.Bytes) bool {
	if job <= smallJobMemory {
		return l.hasPart(1, used+job)
	}
	return l.hasPart(1./2, used+job)
}

// Loads reports whether an instance whose jobs need the given memory may load a stored job.
func (l MemoryLimit) Loads(used, job resource.Bytes) bool {
	if job <= smallJobMemory {
		return l.hasPart(7./8, used+job)
	}
	return l.hasPart(3./4, used+job)
}

// hasPart reports whether the memory is at most the given part of the limit.
func (l MemoryLimit) hasPart(part float64, memory resource.Bytes) bool {
	return l == 0 || float64(memory) <= part*float64(l)
}

// Memory returns an upper estimate of the memory that an owner needs for the job while none of its tasks
// runs.
func (j *Job) Memory() resource.Bytes {
	needed := jobMemory + resource.Bytes(len(j.Spec))*textCopies
	needed += j.occurrenceMemory() * resource.Bytes(j.openAtMost())
	return needed + unopenedMemory*resource.Bytes(j.Occurrences()) + recordMemory*resource.Bytes(len(j.Transferred))
}

// occurrenceMemory returns an upper estimate of the memory that an owner needs for an occurrence that is open.
func (j *Job) occurrenceMemory() resource.Bytes {
	needed := resource.Bytes(0)
	for i := range j.Steps {
		s := &j.Steps[i]
		texts := len(s.Requires) + len(s.PreferredRack) + len(s.Image) + len(s.After)*int(unsafe.Sizeof(0))
		needed += stepMemory + taskMemory*resource.Bytes(s.Tasks) + textCopies*resource.Bytes(texts)
	}
	return needed
}

// openAtMost returns the largest number of occurrences that are open at the same time while none of their
// tasks runs.
func (j *Job) openAtMost() int {
	return min(j.Occurrences(), max(maxIdleSteps/max(len(j.Steps), 1), 1))
}

// Memory returns an estimate of the memory that the engine needs for its jobs.
func (e *Engine) Memory() resource.Bytes {
	used := finishedJobMemory * resource.Bytes(len(e.finishedJobs))
	for _, j := range e.jobs {
		used += j.memory + recordMemory*resource.Bytes(j.records)
		if others := j.open - j.openAtMost(); others > 0 {
			used += j.occurrenceMemory() * resource.Bytes(others)
		}
	}
	return used
}
