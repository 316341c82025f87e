// Package resource defines the units of an instance's resources.
package resource

// MilliProcessors is a number of thousandths of a processor.
type MilliProcessors int64

// Bytes is a number of bytes of memory.
type Bytes int64

// Accelerators is a number of whole accelerators.
type Accelerators int64

// The largest amounts that one instance can have. The totals over all instances of a
// deployment stay far below what a 64-bit number can hold.
const (
	MaxInstanceProcessors   MilliProcessors = 100_000_000
	MaxInstanceMemory       Bytes           = 64 << 40
	MaxInstanceAccelerators Accelerators    = 100_000
)

// Vector holds an amount of each resource.
type Vector struct {
	Processors   MilliProcessors
	Memory       Bytes
	Accelerators Accelerators
}

// Add returns v plus w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.Processors + w.Processors, v.Memory + w.Memory, v.Accelerators + w.Accelerators}
}

// Sub returns v minus w. Components of the result may be negative.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.Processors - w.Processors, v.Memory - w.Memory, v.Accelerators - w.Accelerators}
}

// Max returns the component-wise maximum of v and w.
func (v Vector) Max(w Vector) Vector {
	return Vector{
		max(v.Processors, w.Processors),
		max(v.Memory, w.Memory),
		max(v.Accelerators, w.Accelerators),
	}
}

// FitsIn reports whether each component of v is at most that of w.
func (v Vector) FitsIn(w Vector) bool {
	return v.Processors <= w.Processors && v.Memory <= w.Memory && v.Accelerators <= w.Accelerators
}

// IsInstanceCapacity reports whether an instance can have these resources: none is negative
// or above the largest amount.
func (v Vector) IsInstanceCapacity() bool {
	return Vector{}.FitsIn(v) && v.FitsIn(Vector{MaxInstanceProcessors, MaxInstanceMemory, MaxInstanceAccelerators})
}

// IsZero reports whether all components of v are zero.
func (v Vector) IsZero() bool {
	return v == Vector{}
}
