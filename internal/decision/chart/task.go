package chart

import "sync"

// TaskState is a state of a batch task as its shard's owner knows it.
type TaskState string

// States of charts/task.json.
const (
	TaskPending       TaskState = "Pending"
	TaskStarting      TaskState = "Starting"
	TaskRunning       TaskState = "Running"
	TaskCheckpointing TaskState = "Checkpointing"
	TaskStopping      TaskState = "Stopping"
	TaskUncertain     TaskState = "Uncertain"
	TaskCancelling    TaskState = "Cancelling"
	TaskParked        TaskState = "Parked"
	TaskSucceeded     TaskState = "Succeeded"
	TaskFailed        TaskState = "Failed"
	TaskCancelled     TaskState = "Cancelled"
	TaskMoved         TaskState = "Moved"
)

// TaskEvent is an event of charts/task.json.
type TaskEvent string

// Events of charts/task.json.
const (
	TaskOnStart   TaskEvent = "Start"
	TaskOnFound   TaskEvent = "Found"
	TaskOnDoubt   TaskEvent = "Doubt"
	TaskOnSucceed TaskEvent = "Succeed"
	TaskOnGiveUp  TaskEvent = "GiveUp"
	TaskOnPark    TaskEvent = "Park"
	TaskOnCancel  TaskEvent = "Cancel"
	TaskOnMove    TaskEvent = "Move"
	TaskOnStarted TaskEvent = "Started"
	TaskOnRefuse  TaskEvent = "Refuse"
	TaskOnEvict   TaskEvent = "Evict"
	TaskOnKill    TaskEvent = "Kill"
	TaskOnStopped TaskEvent = "Stopped"
	TaskOnLost    TaskEvent = "Lost"
	TaskOnFail    TaskEvent = "Fail"
	TaskOnUnpark  TaskEvent = "Unpark"
)

var loadTask = sync.OnceValue(mustEmbedded[TaskState, TaskEvent]("task"))

// Task returns the machine of a batch task as its shard's owner knows it.
func Task() Machine[TaskState, TaskEvent] {
	return loadTask()
}
