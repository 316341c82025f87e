// Package diagnosis tells from the log lines of all instances what became of a job,
// and why it was late, refused or run anew.
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
)

// Line is a log line of an entry instance. Fields that a line lacks are zero.
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
	// Took, Objective, Age and RetryAfter are in milliseconds.
	Took       float64
	Objective  float64
	Age        float64
	RetryAfter float64
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Read returns the lines of a log in the order of their times, and how many others it
// left out. What stands before the first brace of a line is ignored.
func Read(r io.Reader) (lines []Line, left int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, content, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			left++
			continue
		}
		line, err := decode(content)
		if err != nil {
			left++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, left, fmt.Errorf("read the log after %d lines: %w", len(lines)+left, err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, left, nil
}

var errNoTime = errors.New("diagnosis: a line without a time")

// decode reads a line whose first brace is cut off.
func decode(content []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(append([]byte("{"), content...), &line); err != nil {
		return Line{}, err
	}
	if line.Time.IsZero() {
		return Line{}, errNoTime
	}
	return line, nil
}

// concerns reports whether the line is about a job.
func (l *Line) concerns(job string) bool {
	return l.Job == job || strings.HasPrefix(l.Task, job+"/") || strings.HasSuffix(l.Path, "/"+job)
}

// String returns the line in short form.
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
