// Package diagnosis analyses the log lines of all instances. It finds how a job ended, and
// why it was late, refused or run again.
package diagnosis

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

// Line is a log line of an entry instance. Fields that are missing in the log are zero.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string
	Event    string
	Message  string `json:"message"`
	Job      string
	Task     string
	Run      int64
	Worker   string
	Reason   string
	Path     string
	Queue    string
	// SlackFactor and TargetLatency are those of the queue of an added job.
	SlackFactor float64
	// Took, Objective, TargetLatency, Age and RetryAfter are in milliseconds.
	Took          float64
	Objective     float64
	TargetLatency float64
	Age           float64
	RetryAfter    float64
	// Shard is the shard of an owner's line.
	Shard ShardNumber
	// LongDowntime has the further fields of TaskDownForLong, and Room those of ShardRoom. They are
	// nil for other events.
	LongDowntime *LongDowntime `json:"-"`
	Room         *ShardRoom    `json:"-"`
}

// LongDowntime describes a long-running task that is down for long.
type LongDowntime struct {
	// Awaits is what the task waits for, such as Room.
	Awaits string
	// Vector has the resources that the task reserves.
	resource.Vector
	// UnavailableWithRoom is the number of workers that aren't available but have room for the task.
	UnavailableWithRoom int
	// WaitingTasks is the number of tasks of the same step that wait.
	WaitingTasks int
}

// ShardRoom has the free resources of the workers of a shard with the most free processors.
type ShardRoom struct {
	// Free has those of available workers.
	Free []resource.Vector
	// UnavailableFree has those of workers that get no tasks for now.
	UnavailableFree []resource.Vector
}

// ShardNumber is the number of a shard of the users' platform. Other lines have a text as shard,
// which counts as 0.
type ShardNumber int

// UnmarshalJSON decodes a number and ignores any other value.
func (n *ShardNumber) UnmarshalJSON(content []byte) error {
	var number int
	if err := json.Unmarshal(content, &number); err == nil {
		*n = ShardNumber(number)
	}
	return nil
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read returns the JSON lines of a log, sorted by time, and the number of other lines that
// it skipped. It ignores text before the first brace of a line, such as a prefix that a
// log collector adds.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, content, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			skipped++
			continue
		}
		line, err := decodeLine(content)
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read the log after %d lines: %w", len(lines)+skipped, err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, skipped, nil
}

var errNoTime = errors.New("diagnosis: log line has no time")

// decodeLine decodes a JSON line without its first brace.
func decodeLine(content []byte) (Line, error) {
	var line Line
	content = append([]byte("{"), content...)
	if err := json.Unmarshal(content, &line); err != nil {
		return Line{}, err
	}
	switch line.Event {
	case "TaskDownForLong":
		line.LongDowntime = &LongDowntime{}
		if err := json.Unmarshal(content, line.LongDowntime); err != nil {
			return Line{}, err
		}
	case "ShardRoom":
		line.Room = &ShardRoom{}
		if err := json.Unmarshal(content, line.Room); err != nil {
			return Line{}, err
		}
	}
	if line.Time.IsZero() {
		return Line{}, errNoTime
	}
	return line, nil
}

// isAboutJob reports whether the line is about a job or one of its tasks.
func (l *Line) isAboutJob(job string) bool {
	return l.Job == job || strings.HasPrefix(l.Task, job+"/") || strings.HasSuffix(l.Path, "/"+job)
}

// String formats the line on one line of text, with its main fields.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Event+l.Message)
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	add("Task", l.Task)
	if l.Run > 0 {
		fmt.Fprintf(&b, " Run=%d", l.Run)
	}
	add("Worker", l.Worker)
	add("Reason", l.Reason)
	return b.String()
}
