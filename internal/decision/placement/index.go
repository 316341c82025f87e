package placement

import (
	"math/bits"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// bucketCount per dimension: four for each power of two.
	bucketCount = 64
	// processorShift and memoryShift are the smallest steps: 16 milliprocessors
	// and 16 MiB. 64 buckets then reach 2,000 processors and 2 TiB.
	processorShift = 4
	memoryShift    = 24
	// maxKeyAccelerators is the largest number of free accelerators that is told apart.
	maxKeyAccelerators = 15
	// maxBoundaryChecks bounds the workers that are checked in cells whose workers may
	// be slightly too small; the search starts elsewhere each time.
	maxBoundaryChecks = 24
	// maxRejections bounds the workers that fit but are rejected for other reasons.
	maxRejections = 48
)

// bucketOf maps an amount to its bucketOf; larger amounts never get a lower one.
func bucketOf(amount int64, shift uint) int {
	if amount <= 0 {
		return 0
	}
	scaled := uint64(amount) >> shift
	if scaled < 4 {
		return int(scaled)
	}
	exponent := bits.Len64(scaled) - 1
	mantissa := int(scaled>>(exponent-2)) & 3
	return min((exponent-1)*4+mantissa, bucketCount-1)
}

// groupKey separates workers that differ for placement.
type groupKey struct {
	// serviceSetID is the number of the serviceSetID of services on the worker.
	serviceSetID int32
	// pressureLevel is the pressure on the services.
	pressureLevel uint8
	// recentlyEvicted workers have evicted tasks lately.
	recentlyEvicted bool
	accelerators    uint8
}

// indexPosition is a worker's place in an index.
type indexPosition struct {
	group  *nodeGroup
	row    uint8
	col    uint8
	offset int32
}

type bucketRow struct {
	occupied uint64
	cells    [bucketCount][]*node
}

// nodeGroup has workers of one key by free processors (rows) and memory (cells).
type nodeGroup struct {
	key      groupKey
	occupied uint64
	rows     [bucketCount]*bucketRow
	count    int
}

// nodeIndex finds a worker with enough room without looking at all workers. which
// selects the slot of a node that belongs to this nodeIndex.
type nodeIndex struct {
	id          int
	groups      []*nodeGroup
	groupsByKey map[groupKey]*nodeGroup
	rotation    int
}

// put enters or moves a worker with the given room.
func (ix *nodeIndex) put(n *node, key groupKey, room resource.Vector) {
	rowNumber := uint8(bucketOf(int64(room.Processors), processorShift))
	column := uint8(bucketOf(int64(room.Memory), memoryShift))
	position := &n.indexPositions[ix.id]
	if position.group != nil && position.group.key == key && position.row == rowNumber && position.col == column {
		return
	}
	ix.remove(n)
	group := ix.groupByKey(key)
	if group.rows[rowNumber] == nil {
		group.rows[rowNumber] = &bucketRow{}
	}
	row := group.rows[rowNumber]
	*position = indexPosition{group: group, row: rowNumber, col: column, offset: int32(len(row.cells[column]))}
	row.cells[column] = append(row.cells[column], n)
	row.occupied |= 1 << column
	group.occupied |= 1 << rowNumber
	group.count++
}

// remove takes a worker out; it may be absent.
func (ix *nodeIndex) remove(n *node) {
	position := &n.indexPositions[ix.id]
	group := position.group
	if group == nil {
		return
	}
	row := group.rows[position.row]
	cell := row.cells[position.col]
	last := len(cell) - 1
	cell[position.offset] = cell[last]
	cell[position.offset].indexPositions[ix.id].offset = position.offset
	cell[last] = nil
	row.cells[position.col] = cell[:last]
	if last == 0 {
		row.occupied &^= 1 << position.col
	}
	if row.occupied == 0 {
		group.occupied &^= 1 << position.row
	}
	group.count--
	*position = indexPosition{}
}

func (ix *nodeIndex) groupByKey(key groupKey) *nodeGroup {
	group := ix.groupsByKey[key]
	if group == nil {
		if ix.groupsByKey == nil {
			ix.groupsByKey = map[groupKey]*nodeGroup{}
		}
		group = &nodeGroup{key: key}
		ix.groupsByKey[key] = group
		ix.groups = append(ix.groups, group)
	}
	return group
}

// findTightest returns the tightest worker of a group that has room for need and that
// accept takes, or nil. It checks a bounded number of workers.
func (ix *nodeIndex) findTightest(group *nodeGroup, demand resource.Vector, accept func(*node) bool) *node {
	ix.rotation++
	scan := cellScan{demand: demand, accept: accept, rotation: ix.rotation, indexID: ix.id}
	firstRow := bucketOf(int64(demand.Processors), processorShift)
	firstColumn := bucketOf(int64(demand.Memory), memoryShift)
	for rows := group.occupied >> firstRow << firstRow; rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros64(rows)
		row := group.rows[r]
		for cols := row.occupied >> firstColumn << firstColumn; cols != 0; cols &= cols - 1 {
			c := bits.TrailingZeros64(cols)
			if n := scan.firstAccepted(row.cells[c], r == firstRow || c == firstColumn); n != nil {
				return n
			}
			if scan.rejected >= maxRejections {
				return nil
			}
		}
	}
	return nil
}

type cellScan struct {
	demand          resource.Vector
	accept          func(*node) bool
	rotation        int
	indexID         int
	boundaryChecked int
	rejected        int
}

func (s *cellScan) firstAccepted(cell []*node, boundary bool) *node {
	for i := range cell {
		if boundary {
			if s.boundaryChecked >= maxBoundaryChecks {
				return nil
			}
			s.boundaryChecked++
		}
		n := cell[(i+s.rotation)%len(cell)]
		if !s.demand.FitsIn(n.roomFor(s.indexID)) {
			continue
		}
		if s.accept(n) {
			return n
		}
		s.rejected++
		if s.rejected >= maxRejections {
			return nil
		}
	}
	return nil
}

// visitLargestFirst calls visit with workers from the most room downwards until it returns
// false.
func (ix *nodeIndex) visitLargestFirst(visit func(*node) bool) {
	for r := bucketCount - 1; r >= 0; r-- {
		for _, group := range ix.groups {
			if group.occupied&(1<<r) == 0 {
				continue
			}
			row := group.rows[r]
			for cols := row.occupied; cols != 0; cols &= cols - 1 {
				for _, n := range row.cells[bits.TrailingZeros64(cols)] {
					if !visit(n) {
						return
					}
				}
			}
		}
	}
}
