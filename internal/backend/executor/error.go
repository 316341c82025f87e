package executor

import "fmt"

// Class tells what became of a request.
type Class string

// Classes of a request.
const (
	// Completed means that the whole answer arrived.
	Completed Class = "Completed"
	// NotRun means that no byte of the request left, or that the executor states that
	// it did not run it.
	NotRun Class = "NotRun"
	// Unknown means that the request may have run.
	Unknown Class = "Unknown"
)

// Reason tells why a request did not complete.
type Reason string

// Reasons for which a request did not complete.
const (
	// ReasonInvalid is a request that can't be sent.
	ReasonInvalid Reason = "Invalid"
	// ReasonDial is a connection that could not be opened.
	ReasonDial Reason = "Dial"
	// ReasonRefused is an answer by which the executor states that it did not run.
	ReasonRefused Reason = "Refused"
	// ReasonCanceled is the end of the context of the request.
	ReasonCanceled Reason = "Canceled"
	// ReasonRequestBody is a request body that could not be read to its end.
	ReasonRequestBody Reason = "RequestBody"
	// ReasonFirstByte is an answer that did not begin within the bound.
	ReasonFirstByte Reason = "FirstByteTimeout"
	// ReasonIdle is an answer that paused for longer than the bound.
	ReasonIdle Reason = "IdleTimeout"
	// ReasonCut is a connection that ended or broke before the answer began.
	ReasonCut Reason = "Cut"
	// ReasonTruncated is an answer that ended early.
	ReasonTruncated Reason = "Truncated"
	// ReasonNoLength is an answer whose end can't be told from a cut, because it has
	// neither a length nor a chunk end.
	ReasonNoLength Reason = "NoLength"
)

// Error is the failure of an attempt. Client.Do and Response.Body return it.
type Error struct {
	Class  Class
	Reason Reason
	// Err is the cause; nil if the reason says it all.
	Err error
}

// Error returns the class, the reason and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("executor: %s: %s", e.Class, e.Reason)
	}
	return fmt.Sprintf("executor: %s: %s: %v", e.Class, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
