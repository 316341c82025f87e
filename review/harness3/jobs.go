package main

import (
	"strings"
	"sync"
	"time"
)

// job is what a client hands in.
type job map[string]any

// taskStart is a start of a task, as its executor saw it.
type taskStart struct {
	at       time.Time
	executor *executor
	task     string
	run      int64
	labels   []string
	born     time.Time
}

// tasks is the work of the executors: all tasks are alike, and the starts are noted.
type tasks struct {
	record *record
	lasts  time.Duration
	cpu    int64
	memMB  int64

	lock   sync.Mutex
	starts []taskStart
}

func (t *tasks) duration(string) time.Duration   { return t.lasts }
func (t *tasks) resources(string) (int64, int64) { return t.cpu, t.memMB }

func (t *tasks) started(e *executor, task string, number int64) {
	t.record.line("executor %s: starts %s run %d", e.id, task, number)
	t.lock.Lock()
	defer t.lock.Unlock()
	t.starts = append(t.starts, taskStart{time.Now(), e, task, number, e.labels, e.born})
}

func (t *tasks) ended(e *executor, task string, number int64, how string) {
	t.record.line("executor %s: %s run %d ends %s", e.id, task, number, how)
}

// startsOf returns the starts of the tasks of a job.
func (t *tasks) startsOf(id string) []taskStart {
	t.lock.Lock()
	defer t.lock.Unlock()
	var list []taskStart
	for _, s := range t.starts {
		if strings.HasPrefix(s.task, id+".") {
			list = append(list, s)
		}
	}
	return list
}
