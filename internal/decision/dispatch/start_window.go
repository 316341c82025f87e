package dispatch

const (
	// initialStartWindow, minStartWindow and maxStartWindow are numbers of starts in flight.
	initialStartWindow = 12
	minStartWindow     = 4
	maxStartWindow     = 128
	// startWindowIncrease is added to the window for each answer in time, and the window is multiplied
	// by startWindowDecrease for each start without one.
	startWindowIncrease = 0.5
	startWindowDecrease = 0.8
)

// startWindow limits the starts that wait for an answer. An owner with a backlog and little processor
// time could otherwise send more than it can read the answers of in time, stop what it has just started,
// and be replaced by an owner that does the same. The window widens with answers in time and narrows with
// starts without one, and a new owner begins with a narrow one. The zero value is ready to use.
type startWindow struct {
	// size is the number of starts that may be in flight, 0 for initialStartWindow.
	size     float64
	inFlight int
}

// limit returns the number of starts that may be in flight.
func (w *startWindow) limit() float64 {
	if w.size == 0 {
		return initialStartWindow
	}
	return w.size
}

// free returns how many more starts may be sent now.
func (w *startWindow) free() int {
	return max(int(w.limit())-w.inFlight, 0)
}

// record adjusts the window to a start that was answered in time, or wasn't.
func (w *startWindow) record(answered bool) {
	if answered {
		w.size = min(w.limit()+startWindowIncrease, maxStartWindow)
		return
	}
	w.size = max(w.limit()*startWindowDecrease, minStartWindow)
}
