package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// waitingQueue holds waiting requests in order of arrival. With this order, later
// requests with earlier deadlines don't lengthen the wait of an admitted request.
type waitingQueue struct {
	byArrival  list.List
	byID       map[string]*list.Element
	byDeadline deadlineHeap
}

// deadlineHeap is a min-heap of requests by deadline. Requests that were removed from the
// queue stay in the heap until they reach its top.
type deadlineHeap []Request

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }

func (d deadlineHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *deadlineHeap) Push(x any) { *d = append(*d, x.(Request)) }

func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = Request{}
	*d = (*d)[:last]
	return x
}

func (q *waitingQueue) len() int {
	return q.byArrival.Len()
}

func (q *waitingQueue) push(request Request) {
	if q.byID == nil {
		q.byID = map[string]*list.Element{}
	}
	q.byID[request.ID] = q.byArrival.PushBack(request)
	heap.Push(&q.byDeadline, request)
}

func (q *waitingQueue) remove(id string) bool {
	element := q.byID[id]
	if element == nil {
		return false
	}
	q.byArrival.Remove(element)
	delete(q.byID, id)
	return true
}

// earliest returns the waiting request with the earliest deadline.
func (q *waitingQueue) earliest() (Request, bool) {
	for len(q.byDeadline) > 0 {
		if q.byID[q.byDeadline[0].ID] != nil {
			return q.byDeadline[0], true
		}
		heap.Pop(&q.byDeadline)
	}
	return Request{}, false
}

// expire removes the requests that have less than requiredTime left before their deadline
// and returns their IDs.
func (q *waitingQueue) expire(now time.Time, requiredTime time.Duration) []string {
	var ids []string
	for {
		request, ok := q.earliest()
		if !ok || !now.Add(requiredTime).After(request.Deadline) {
			return ids
		}
		q.remove(request.ID)
		ids = append(ids, request.ID)
	}
}

// takeFirst calls accept for up to limit waiting requests in order of arrival, and removes
// and returns the first one for which it returns true.
func (q *waitingQueue) takeFirst(limit int, accept func(Request) bool) (Request, bool) {
	for element := q.byArrival.Front(); element != nil && limit > 0; element = element.Next() {
		request := element.Value.(Request)
		if accept(request) {
			q.remove(request.ID)
			return request, true
		}
		limit--
	}
	return Request{}, false
}

// nextExpiry returns when the next waiting request has only requiredTime left before its
// deadline.
func (q *waitingQueue) nextExpiry(requiredTime time.Duration) (time.Time, bool) {
	request, ok := q.earliest()
	return request.Deadline.Add(-requiredTime), ok
}
