// Package resource has the units in which instances are measured and divided.
package resource

// MilliProcessors counts thousandths of a processor.
type MilliProcessors int64

// Bytes counts bytes of memory.
type Bytes int64

// Accelerators counts whole accelerators.
type Accelerators int64

// Vector is an amount of each resource. The zero value is nothing.
type Vector struct {
	Processors   MilliProcessors
	Memory       Bytes
	Accelerators Accelerators
}

// Add returns the sum of both vectors.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.Processors + w.Processors, v.Memory + w.Memory, v.Accelerators + w.Accelerators}
}

// Sub returns v less w. Components may become negative.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.Processors - w.Processors, v.Memory - w.Memory, v.Accelerators - w.Accelerators}
}

// Max returns the larger of each component.
func (v Vector) Max(w Vector) Vector {
	return Vector{
		max(v.Processors, w.Processors),
		max(v.Memory, w.Memory),
		max(v.Accelerators, w.Accelerators),
	}
}

// FitsIn reports whether no component of v exceeds that of w.
func (v Vector) FitsIn(w Vector) bool {
	return v.Processors <= w.Processors && v.Memory <= w.Memory && v.Accelerators <= w.Accelerators
}

// IsZero reports whether v is nothing.
func (v Vector) IsZero() bool {
	return v == Vector{}
}
