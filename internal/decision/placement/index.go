package placement

import (
	"math/bits"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// bucketCount is the number of buckets per dimension, four for each power of two.
	bucketCount = 64
	// processorShift and memoryShift set the smallest steps to 16 milliprocessors and
	// 16 MiB. 64 buckets then reach 2,000 processors and 2 TiB.
	processorShift = 4
	memoryShift    = 24
	// maxKeyAccelerators is the largest number of free accelerators that a group key
	// distinguishes.
	maxKeyAccelerators = 15
	// maxBoundaryChecks limits the workers that are checked in cells whose workers may
	// be slightly too small. Each search starts at a different worker of a cell.
	maxBoundaryChecks = 24
	// maxRejections limits the workers that have room but are rejected by the accept
	// function of the search.
	maxRejections = 48
)

// bucketOf maps an amount to its bucket. It is monotonic: a larger amount never gets a
// lower bucket.
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

// groupKey identifies the workers that are equivalent for placement apart from their
// free processors and memory.
type groupKey struct {
	serviceSetID int32
	// pressureLevel is the level of the worker's predicted service latency; see
	// node.pressureLevel.
	pressureLevel uint8
	// recentlyEvicted is set for workers from which tasks were evicted lately.
	recentlyEvicted bool
	accelerators    uint8
}

// indexPosition is a worker's position in an index.
type indexPosition struct {
	group  *nodeGroup
	row    uint8
	col    uint8
	offset int32
}

// bucketRow holds the workers of one processor bucket, in cells by memory bucket.
type bucketRow struct {
	occupied uint64
	cells    [bucketCount][]*node
}

// nodeGroup holds the workers with the same key in rows by free processors and cells by
// free memory. The bits of occupied mark the rows and cells that are not empty.
type nodeGroup struct {
	key      groupKey
	occupied uint64
	rows     [bucketCount]*bucketRow
	count    int
}

// nodeIndex finds a worker with enough room without examining all workers. id selects
// the element of node.indexPositions that belongs to this index.
type nodeIndex struct {
	id          int
	groups      []*nodeGroup
	groupsByKey map[groupKey]*nodeGroup
	rotation    int
}

// put adds a worker with the given room, or moves it to its new position.
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

// remove removes a worker if it is in the index.
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

// groupByKey returns the group of a key, creating it on first use.
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

// findTightest returns the tightest fit for demand among the workers of a group that
// accept approves, or nil. It checks a limited number of workers.
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

// cellScan counts the checks of one search over several cells.
type cellScan struct {
	demand          resource.Vector
	accept          func(*node) bool
	rotation        int
	indexID         int
	boundaryChecked int
	rejected        int
}

// firstAccepted returns the first worker of a cell that has room and is accepted, or
// nil. boundary marks a cell whose workers may be slightly too small.
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

// visitLargestFirst calls visit with the workers in descending order of free processors
// until it returns false.
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
