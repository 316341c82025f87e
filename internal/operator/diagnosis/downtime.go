package diagnosis

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// roomMatters is the downtime from which on room for the task is looked for. The platform counts
	// a task as lost if it has no run for 6 s, and then for 3 s while there is room for it twice over.
	roomMatters = 6 * time.Second
	// roomLost is the time with room in a row that makes such a task count as lost.
	roomLost = 3 * time.Second
	// roomValidity is how long a record of a shard's room holds if no later one follows. An owner
	// records it once a second, and may be late by a second under load.
	roomValidity = 2 * time.Second
)

// DowntimeEnd is how a downtime ended.
type DowntimeEnd string

// Ends of downtimes.
const (
	// DownUntilStart means that the task started again.
	DownUntilStart DowntimeEnd = "Started"
	// DownUntilJobEnd means that the job ended.
	DownUntilJobEnd DowntimeEnd = "JobEnded"
	// DownUntilLogEnd means that the task was still down at the end of the log.
	DownUntilLogEnd DowntimeEnd = "LogEnded"
)

// Downtime is a time in which a long-running task that ran before had no run.
type Downtime struct {
	Task  string
	Shard ShardNumber
	Since time.Time
	// Lasted is the time from the end of the last run to End.
	Lasted time.Duration
	End    DowntimeEnd
	// Reason is why the task went down, and Waits what it waited for when its owner recorded that,
	// with the number of records of each. Explanation is the last record's text.
	Reason      string
	Waits       map[string]int
	Explanation string
	// Resources are what the task needs. They are zero if no line tells.
	Resources resource.Vector
	// Room has, by place, the longest time in a row with room for the task twice over.
	Room map[RoomPlace]time.Duration
	// OtherStarts is the number of accepted starts of other tasks in the shard after roomMatters, and
	// LongRunningStarts how many of them were of long-running tasks.
	OtherStarts       int
	LongRunningStarts int
}

// RoomPlace is where room for a task was.
type RoomPlace string

// Places.
const (
	// OwnShard is the available workers of the task's shard.
	OwnShard RoomPlace = "OwnShard"
	// OtherShards is the available workers of all other shards.
	OtherShards RoomPlace = "OtherShards"
	// UnavailableWorkers is the workers of all shards that get no tasks for now.
	UnavailableWorkers RoomPlace = "UnavailableWorkers"
	// Anywhere is all workers of all shards.
	Anywhere RoomPlace = "Anywhere"
)

// RoomPlaces returns all places in the order in which they are reported.
func RoomPlaces() []RoomPlace {
	return []RoomPlace{OwnShard, OtherShards, UnavailableWorkers, Anywhere}
}

// DowntimeSummary has the long downtimes in a log.
type DowntimeSummary struct {
	// Downtimes is sorted by time.
	Downtimes []Downtime
	// Reasons and Waits count the downtimes by why they began and by what the task waited for in any
	// record, Room those with room in a place for at least 3 s in a row, and Ends those by how they
	// ended. NoRoom counts those without such room, and ResourcesUnknown those of tasks whose
	// resources no line tells. WithOtherStarts counts those in which other tasks started after 6 s.
	Reasons          map[string]int
	Waits            map[string]int
	Room             map[RoomPlace]int
	Ends             map[DowntimeEnd]int
	NoRoom           int
	ResourcesUnknown int
	WithOtherStarts  int
}

// FindDowntimes returns the downtimes of long-running tasks of at least the given duration from log
// lines, which must be sorted by time.
func FindDowntimes(lines []Line, minimum time.Duration) DowntimeSummary {
	f := newDowntimeFinder()
	for i := range lines {
		f.apply(&lines[i])
	}
	return f.summarize(minimum)
}

// taskRuns are the runs of a task that the log shows.
type taskRuns struct {
	active map[int64]bool
	ended  map[int64]bool
	// stopReasons has why runs were stopped.
	stopReasons map[int64]string
	// down is the current downtime, or nil.
	down *Downtime
}

// taskStart is the accepted start of a task.
type taskStart struct {
	at    time.Time
	task  string
	shard ShardNumber
}

// downtimeFinder collects the downtimes of all tasks.
type downtimeFinder struct {
	// tasks has the tasks by job and id.
	tasks     map[string]map[string]*taskRuns
	downtimes []*Downtime
	// longRunning and endedJobs have the jobs whose tasks are long-running, and those that ended.
	longRunning map[string]bool
	endedJobs   map[string]bool
	// resources has the resources of the tasks of each step.
	resources map[string]resource.Vector
	starts    []taskStart
	rooms     []*Line
	last      time.Time
}

func newDowntimeFinder() *downtimeFinder {
	return &downtimeFinder{
		tasks: map[string]map[string]*taskRuns{}, longRunning: map[string]bool{}, endedJobs: map[string]bool{},
		resources: map[string]resource.Vector{},
	}
}

func (f *downtimeFinder) apply(l *Line) {
	f.last = l.Time
	switch l.Event {
	case "TaskStart":
		if l.Reason == "Accepted" {
			f.starts = append(f.starts, taskStart{l.Time, l.Task, l.Shard})
			f.start(l)
		}
	case "TaskAdopted":
		f.start(l)
	case "TaskDown":
		// The task is at work. Its start isn't in the log if it got no answer.
		f.longRunning[l.jobID()] = true
		f.start(l)
	case "TaskStopping":
		f.runsOf(l).stopReasons[l.Run] = l.Reason
	case "TaskEnded", "TaskLost", "TaskMissing":
		f.end(l)
	case "TaskDownForLong":
		f.longRunning[l.jobID()] = true
		f.observeDowntime(l)
	case "JobCompleted", "JobFailed", "JobCancelled":
		f.endJob(l)
	case "ShardRoom":
		f.rooms = append(f.rooms, l)
	}
}

// runsOf returns the runs of the task of a line.
func (f *downtimeFinder) runsOf(l *Line) *taskRuns {
	job := l.jobID()
	if f.tasks[job] == nil {
		f.tasks[job] = map[string]*taskRuns{}
	}
	t := f.tasks[job][l.Task]
	if t == nil {
		t = &taskRuns{active: map[int64]bool{}, ended: map[int64]bool{}, stopReasons: map[int64]string{}}
		f.tasks[job][l.Task] = t
	}
	return t
}

func (f *downtimeFinder) start(l *Line) {
	t := f.runsOf(l)
	if t.ended[l.Run] {
		return
	}
	t.active[l.Run] = true
	t.endDowntime(l.Time, DownUntilStart)
}

func (t *taskRuns) endDowntime(at time.Time, end DowntimeEnd) {
	if t.down != nil {
		t.down.Lasted, t.down.End = at.Sub(t.down.Since), end
		t.down = nil
	}
}

func (f *downtimeFinder) end(l *Line) {
	t := f.runsOf(l)
	delete(t.active, l.Run)
	t.ended[l.Run] = true
	if len(t.active) == 0 {
		f.beginDowntime(t, l, l.Time, cmp.Or(t.stopReasons[l.Run], l.Reason))
	}
}

func (f *downtimeFinder) beginDowntime(t *taskRuns, l *Line, since time.Time, reason string) {
	if t.down != nil || f.endedJobs[l.jobID()] {
		return
	}
	t.down = &Downtime{Task: l.Task, Shard: l.Shard, Since: since, Reason: reason, Waits: map[string]int{}, Room: map[RoomPlace]time.Duration{}}
	f.downtimes = append(f.downtimes, t.down)
}

// observeDowntime processes an owner's record of a task that is down for long.
func (f *downtimeFinder) observeDowntime(l *Line) {
	t := f.runsOf(l)
	reason, explanation, _ := strings.Cut(l.Reason, "; ")
	if l.LongDowntime.Awaits != "OwnRun" {
		// The log lacks the ends of runs that ended while the shard changed its owner.
		for run := range t.active {
			t.ended[run] = true
		}
		clear(t.active)
		f.beginDowntime(t, l, l.Time.Add(-fromMilliseconds(l.Took)), reason)
	}
	f.resources[stepOf(l.Task)] = l.LongDowntime.Vector
	if t.down != nil {
		t.down.Shard, t.down.Reason, t.down.Explanation = l.Shard, reason, explanation
		t.down.Waits[l.LongDowntime.Awaits]++
	}
}

// stepOf returns the step of a task, with its job and occurrence.
func stepOf(task string) string {
	return task[:max(strings.LastIndex(task, "/"), 0)]
}

func (f *downtimeFinder) endJob(l *Line) {
	f.endedJobs[l.Job] = true
	for _, t := range f.tasks[l.Job] {
		t.endDowntime(l.Time, DownUntilJobEnd)
	}
}

// summarize returns the downtimes of long-running tasks of at least the given duration.
func (f *downtimeFinder) summarize(minimum time.Duration) DowntimeSummary {
	for _, tasks := range f.tasks {
		for _, t := range tasks {
			t.endDowntime(f.last, DownUntilLogEnd)
		}
	}
	s := DowntimeSummary{
		Reasons: map[string]int{}, Waits: map[string]int{}, Room: map[RoomPlace]int{}, Ends: map[DowntimeEnd]int{},
	}
	for _, d := range f.downtimes {
		job, _, _ := strings.Cut(d.Task, "/")
		if !f.longRunning[job] || d.Lasted < minimum {
			continue
		}
		d.Resources = f.resources[stepOf(d.Task)]
		f.measureRoom(d)
		f.countStarts(d)
		s.add(*d)
	}
	slices.SortStableFunc(s.Downtimes, func(a, b Downtime) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Task, b.Task))
	})
	return s
}

func (s *DowntimeSummary) add(d Downtime) {
	s.Downtimes = append(s.Downtimes, d)
	s.Reasons[d.Reason]++
	s.Ends[d.End]++
	for awaits := range maps.Keys(d.Waits) {
		s.Waits[awaits]++
	}
	for place, lasted := range d.Room {
		if lasted >= roomLost {
			s.Room[place]++
		}
	}
	switch {
	case d.Resources.IsZero():
		s.ResourcesUnknown++
	case d.Room[Anywhere] < roomLost:
		s.NoRoom++
	}
	if d.OtherStarts > 0 {
		s.WithOtherStarts++
	}
}

// countStarts counts the starts of other tasks in the shard while the task was down for long.
func (f *downtimeFinder) countStarts(d *Downtime) {
	from, to := d.Since.Add(roomMatters), d.Since.Add(d.Lasted)
	first, _ := slices.BinarySearchFunc(f.starts, from, func(s taskStart, at time.Time) int { return s.at.Compare(at) })
	for _, s := range f.starts[first:] {
		if !s.at.Before(to) {
			return
		}
		if s.shard != d.Shard || s.task == d.Task {
			continue
		}
		d.OtherStarts++
		if job, _, _ := strings.Cut(s.task, "/"); f.longRunning[job] {
			d.LongRunningStarts++
		}
	}
}

// measureRoom sets for how long in a row there was room for the task.
func (f *downtimeFinder) measureRoom(d *Downtime) {
	if d.Resources.IsZero() {
		return
	}
	from, to := d.Since.Add(roomMatters), d.Since.Add(d.Lasted)
	first, _ := slices.BinarySearchFunc(f.rooms, from.Add(-roomValidity), func(l *Line, at time.Time) int { return l.Time.Compare(at) })
	rooms := f.rooms[first:]
	current, began := map[ShardNumber]*Line{}, map[RoomPlace]time.Time{}
	changes := roomChanges(rooms, from, to)
	for i, at := range changes[:max(len(changes)-1, 0)] {
		for len(rooms) > 0 && !rooms[0].Time.After(at) {
			current[rooms[0].Shard] = rooms[0]
			rooms = rooms[1:]
		}
		for place, free := range freeByPlace(current, at, d.Shard) {
			if !fitsTwice(free, d.Resources) {
				delete(began, place)
				continue
			}
			if began[place].IsZero() {
				began[place] = at
			}
			d.Room[place] = max(d.Room[place], changes[i+1].Sub(began[place]))
		}
	}
}

// roomChanges returns the times from one time to another at which records begin or cease to hold,
// including both ends, in order.
func roomChanges(rooms []*Line, from, to time.Time) []time.Time {
	if !from.Before(to) {
		return nil
	}
	changes := []time.Time{from, to}
	for _, l := range rooms {
		if !l.Time.Before(to) {
			break
		}
		for _, at := range []time.Time{l.Time, l.Time.Add(roomValidity)} {
			if at.After(from) && at.Before(to) {
				changes = append(changes, at)
			}
		}
	}
	slices.SortFunc(changes, time.Time.Compare)
	return changes
}

// freeByPlace returns the free resources of workers in each place, as of the last records of the
// shards that still hold.
func freeByPlace(rooms map[ShardNumber]*Line, now time.Time, own ShardNumber) map[RoomPlace][]resource.Vector {
	free := map[RoomPlace][]resource.Vector{OwnShard: nil, OtherShards: nil, UnavailableWorkers: nil, Anywhere: nil}
	for shard, l := range rooms {
		if now.Sub(l.Time) >= roomValidity {
			continue
		}
		place := OtherShards
		if shard == own {
			place = OwnShard
		}
		free[place] = append(free[place], l.Room.Free...)
		free[UnavailableWorkers] = append(free[UnavailableWorkers], l.Room.UnavailableFree...)
		free[Anywhere] = append(append(free[Anywhere], l.Room.Free...), l.Room.UnavailableFree...)
	}
	return free
}

// fitsTwice reports whether a task fits twice on one worker, or once each on two.
func fitsTwice(free []resource.Vector, task resource.Vector) bool {
	fits := 0
	for _, v := range free {
		if task.Add(task).FitsIn(v) {
			return true
		}
		if task.FitsIn(v) {
			fits++
		}
	}
	return fits > 1
}
