package executor

import "fmt"

// Class is the outcome of a request.
type Class string

// Outcomes of a request.
const (
	// Completed means that the complete response was received.
	Completed Class = "Completed"
	// NotRun means that no byte of the request was sent, or that the executor reported
	// that it did not run the request.
	NotRun Class = "NotRun"
	// Unknown means that the request may have run.
	Unknown Class = "Unknown"
)

// Reason is the cause of a failed request.
type Reason string

// Causes of a failed request.
const (
	// ReasonInvalid means that the request can't be sent.
	ReasonInvalid Reason = "Invalid"
	// ReasonDial means that no connection could be opened.
	ReasonDial Reason = "Dial"
	// ReasonRefused means that the executor reported that it did not run the request.
	ReasonRefused Reason = "Refused"
	// ReasonCanceled means that the context ended or the body was closed early.
	ReasonCanceled Reason = "Canceled"
	// ReasonRequestBody means that reading the request body failed.
	ReasonRequestBody Reason = "RequestBody"
	// ReasonFirstByteTimeout means that no response header was received within
	// Attempt.FirstByteTimeout.
	ReasonFirstByteTimeout Reason = "FirstByteTimeout"
	// ReasonIdleTimeout means that a read of the response body took longer than
	// Attempt.IdleTimeout.
	ReasonIdleTimeout Reason = "IdleTimeout"
	// ReasonConnectionLost means that the connection was lost before the response header was
	// complete.
	ReasonConnectionLost Reason = "Cut"
	// ReasonTruncated means that the response body ended early.
	ReasonTruncated Reason = "Truncated"
	// ReasonNoLength means that the end of the response can't be distinguished from a
	// lost connection, because it has neither a length nor a last chunk.
	ReasonNoLength Reason = "NoLength"
)

// Error is the failure of an attempt. Client.Do and Response.Body return it.
type Error struct {
	Class  Class
	Reason Reason
	// Err is the underlying error, or nil if there is none.
	Err error
}

// Error returns the class, the reason and the underlying error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("executor: %s: %s", e.Class, e.Reason)
	}
	return fmt.Sprintf("executor: %s: %s: %v", e.Class, e.Reason, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}
