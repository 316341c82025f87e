package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// queue holds waiting requests in order of arrival. That order keeps the wait of
// an admitted request from growing when later requests have earlier deadlines.
type queue struct {
	order     list.List
	byID      map[string]*list.Element
	deadlines deadlines
}

// deadlines is a heap of requests by deadline. Requests that left the queue stay
// in it until they reach the top.
type deadlines []Request

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }

func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *deadlines) Push(x any) { *d = append(*d, x.(Request)) }

func (d *deadlines) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = Request{}
	*d = (*d)[:last]
	return x
}

func (q *queue) len() int {
	return q.order.Len()
}

func (q *queue) push(request Request) {
	if q.byID == nil {
		q.byID = map[string]*list.Element{}
	}
	q.byID[request.ID] = q.order.PushBack(request)
	heap.Push(&q.deadlines, request)
}

func (q *queue) remove(id string) bool {
	element := q.byID[id]
	if element == nil {
		return false
	}
	q.order.Remove(element)
	delete(q.byID, id)
	return true
}

// earliest returns the waiting request with the first deadline.
func (q *queue) earliest() (Request, bool) {
	for len(q.deadlines) > 0 {
		if q.byID[q.deadlines[0].ID] != nil {
			return q.deadlines[0], true
		}
		heap.Pop(&q.deadlines)
	}
	return Request{}, false
}

// expire removes and returns the requests that can't be met any more.
func (q *queue) expire(now time.Time, need time.Duration) []string {
	var ids []string
	for {
		request, ok := q.earliest()
		if !ok || !now.Add(need).After(request.Deadline) {
			return ids
		}
		q.remove(request.ID)
		ids = append(ids, request.ID)
	}
}

// first calls try for waiting requests in order until it returns true, and
// removes that request.
func (q *queue) first(limit int, try func(Request) bool) (Request, bool) {
	for element := q.order.Front(); element != nil && limit > 0; element = element.Next() {
		request := element.Value.(Request)
		if try(request) {
			q.remove(request.ID)
			return request, true
		}
		limit--
	}
	return Request{}, false
}

// nextExpiry returns when the first waiting request can't be met any more.
func (q *queue) nextExpiry(need time.Duration) (time.Time, bool) {
	request, ok := q.earliest()
	return request.Deadline.Add(-need), ok
}
