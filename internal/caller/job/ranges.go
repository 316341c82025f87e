package job

import "sort"

// Range is the half-open range of task indexes [From, To).
type Range struct {
	From int
	To   int
}

// Ranges is a set of task indexes, held as sorted ranges that neither overlap nor
// adjoin. It keeps the record of a job small, because tasks finish roughly in
// order. The zero value is an empty set.
type Ranges []Range

// Contains reports whether an index is in the set.
func (r Ranges) Contains(index int) bool {
	i := sort.Search(len(r), func(i int) bool { return r[i].To > index })
	return i < len(r) && r[i].From <= index
}

// Len returns the number of indexes in the set.
func (r Ranges) Len() int {
	count := 0
	for _, interval := range r {
		count += interval.To - interval.From
	}
	return count
}

// Add returns the set with an index added. The result may share memory with r.
func (r Ranges) Add(index int) Ranges {
	i := sort.Search(len(r), func(i int) bool { return r[i].To >= index })
	if i == len(r) {
		return append(r, Range{index, index + 1})
	}
	switch {
	case r[i].From <= index && index < r[i].To:
		return r
	case r[i].To == index:
		return r.extendRight(i)
	case r[i].From == index+1:
		r[i].From = index
		return r
	}
	r = append(r, Range{})
	copy(r[i+1:], r[i:])
	r[i] = Range{index, index + 1}
	return r
}

// extendRight adds the index after range i, and merges the range with the next one
// if they are then adjacent.
func (r Ranges) extendRight(i int) Ranges {
	r[i].To++
	if i+1 < len(r) && r[i+1].From == r[i].To {
		r[i].To = r[i+1].To
		r = append(r[:i+1], r[i+2:]...)
	}
	return r
}
