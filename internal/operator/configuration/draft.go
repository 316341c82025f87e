// Package configuration checks the configuration of the users' platform before it is published, and compares
// it with the one in force.
//
// It is independent of the file format: package platform decodes a file into a Draft and formats the places
// of findings as paths in the file.
package configuration

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Queue is the configuration of a queue, with the host and the path prefix of its callers' requests.
type Queue struct {
	Name          dispatch.QueueName
	Host          string
	Prefix        string
	Service       dispatch.ServiceName
	Priority      int
	MaxAttempts   int
	SlackFactor   float64
	TargetLatency time.Duration
	NeedsAdvice   bool
}

// Draft is a configuration as the operator wrote it, with its order and duplicates.
type Draft struct {
	Version  queue.Version
	Queues   []Queue
	Services []queue.Service
	Limits   queue.Limits
}

// Section is a part of a configuration.
type Section int

// Sections of a configuration.
const (
	SectionRoot Section = iota
	SectionQueues
	SectionServices
	SectionLimits
)

// Field is a setting of a configuration.
type Field int

// Fields of a configuration. FieldNone stands for the whole entry.
const (
	FieldNone Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPrefix
	FieldService
	FieldPriority
	FieldMaxAttempts
	FieldSlackFactor
	FieldTargetLatency
	FieldAdvice
	FieldAdmissionCheck
	FieldStandby
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
)

// Place is where a finding or a change is. Index counts the entries of a list from 0.
type Place struct {
	Section Section
	Index   int
	Field   Field
}
