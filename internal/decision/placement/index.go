package placement

import (
	"math/bits"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// buckets per dimension: four for each power of two.
	buckets = 64
	// processorShift and memoryShift are the smallest steps: 16 milliprocessors
	// and 16 MiB. 64 buckets then reach 2,000 processors and 2 TiB.
	processorShift = 4
	memoryShift    = 24
	// maxAcceleratorsKey is the largest number of free accelerators that is told apart.
	maxAcceleratorsKey = 15
	// boundaryChecks bounds the workers that are checked in cells whose workers may
	// be slightly too small; the search starts elsewhere each time.
	boundaryChecks = 24
	// acceptChecks bounds the workers that fit but are rejected for other reasons.
	acceptChecks = 48
)

// bucket maps an amount to its bucket; larger amounts never get a lower one.
func bucket(amount int64, shift uint) int {
	if amount <= 0 {
		return 0
	}
	scaled := uint64(amount) >> shift
	if scaled < 4 {
		return int(scaled)
	}
	exponent := bits.Len64(scaled) - 1
	mantissa := int(scaled>>(exponent-2)) & 3
	return min((exponent-1)*4+mantissa, buckets-1)
}

// groupKey separates workers that differ for placement.
type groupKey struct {
	// set is the number of the set of services on the worker.
	set int32
	// level is the pressure on the services.
	level uint8
	// volatile workers have evicted tasks lately.
	volatile     bool
	accelerators uint8
}

// slot is a worker's place in an index.
type slot struct {
	group *group
	row   uint8
	col   uint8
	pos   int32
}

type row struct {
	occupied uint64
	cells    [buckets][]*node
}

// group has workers of one key by free processors (rows) and memory (cells).
type group struct {
	key      groupKey
	occupied uint64
	rows     [buckets]*row
	count    int
}

// index finds a worker with enough room without looking at all workers. which
// selects the slot of a node that belongs to this index.
type index struct {
	which  int
	groups []*group
	byKey  map[groupKey]*group
	turn   int
}

// put enters or moves a worker with the given room.
func (x *index) put(n *node, key groupKey, room resource.Vector) {
	r := uint8(bucket(int64(room.Processors), processorShift))
	c := uint8(bucket(int64(room.Memory), memoryShift))
	s := &n.slots[x.which]
	if s.group != nil && s.group.key == key && s.row == r && s.col == c {
		return
	}
	x.remove(n)
	g := x.group(key)
	if g.rows[r] == nil {
		g.rows[r] = &row{}
	}
	line := g.rows[r]
	*s = slot{group: g, row: r, col: c, pos: int32(len(line.cells[c]))}
	line.cells[c] = append(line.cells[c], n)
	line.occupied |= 1 << c
	g.occupied |= 1 << r
	g.count++
}

// remove takes a worker out; it may be absent.
func (x *index) remove(n *node) {
	s := &n.slots[x.which]
	g := s.group
	if g == nil {
		return
	}
	line := g.rows[s.row]
	cell := line.cells[s.col]
	last := len(cell) - 1
	cell[s.pos] = cell[last]
	cell[s.pos].slots[x.which].pos = s.pos
	cell[last] = nil
	line.cells[s.col] = cell[:last]
	if last == 0 {
		line.occupied &^= 1 << s.col
	}
	if line.occupied == 0 {
		g.occupied &^= 1 << s.row
	}
	g.count--
	*s = slot{}
}

func (x *index) group(key groupKey) *group {
	g := x.byKey[key]
	if g == nil {
		if x.byKey == nil {
			x.byKey = map[groupKey]*group{}
		}
		g = &group{key: key}
		x.byKey[key] = g
		x.groups = append(x.groups, g)
	}
	return g
}

// find returns the tightest worker of a group that has room for need and that
// accept takes, or nil. It checks a bounded number of workers.
func (x *index) find(g *group, need resource.Vector, accept func(*node) bool) *node {
	x.turn++
	search := search{need: need, accept: accept, turn: x.turn, which: x.which}
	first := bucket(int64(need.Processors), processorShift)
	column := bucket(int64(need.Memory), memoryShift)
	for rows := g.occupied >> first << first; rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros64(rows)
		line := g.rows[r]
		for cols := line.occupied >> column << column; cols != 0; cols &= cols - 1 {
			c := bits.TrailingZeros64(cols)
			if n := search.cell(line.cells[c], r == first || c == column); n != nil {
				return n
			}
			if search.accepted >= acceptChecks {
				return nil
			}
		}
	}
	return nil
}

type search struct {
	need     resource.Vector
	accept   func(*node) bool
	turn     int
	which    int
	boundary int
	accepted int
}

func (s *search) cell(cell []*node, boundary bool) *node {
	for i := range cell {
		if boundary {
			if s.boundary >= boundaryChecks {
				return nil
			}
			s.boundary++
		}
		n := cell[(i+s.turn)%len(cell)]
		if !s.need.FitsIn(n.room(s.which)) {
			continue
		}
		if s.accept(n) {
			return n
		}
		s.accepted++
		if s.accepted >= acceptChecks {
			return nil
		}
	}
	return nil
}

// largest calls visit with workers from the most room downwards until it returns
// false.
func (x *index) largest(visit func(*node) bool) {
	for r := buckets - 1; r >= 0; r-- {
		for _, g := range x.groups {
			if g.occupied&(1<<r) == 0 {
				continue
			}
			line := g.rows[r]
			for cols := line.occupied; cols != 0; cols &= cols - 1 {
				for _, n := range line.cells[bits.TrailingZeros64(cols)] {
					if !visit(n) {
						return
					}
				}
			}
		}
	}
}
