package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// Code classifies an Error. It is the error code of the JSON-RPC response.
type Code int64

// Codes of errors. The negative ones are those of JSON-RPC 2.0.
const (
	CodeParse          Code = jsonrpc2.CodeParseError
	CodeInvalidRequest Code = jsonrpc2.CodeInvalidRequest
	CodeUnknownMethod  Code = jsonrpc2.CodeMethodNotFound
	CodeInvalidParams  Code = jsonrpc2.CodeInvalidParams
	CodeInternal       Code = jsonrpc2.CodeInternalError
	// CodeBusy reports that the server was at its limit of calls; nothing was done.
	CodeBusy Code = 1
	// CodeTooLarge reports a message over MaxMessage.
	CodeTooLarge Code = 2
	// CodeRefused reports that the handler refused the call; nothing was done.
	CodeRefused Code = 3
	// CodeStaleEpoch reports a call under a superseded epoch; nothing was done.
	CodeStaleEpoch Code = 4
	// CodeNotOwner reports a call to an instance that does not own the shard.
	CodeNotOwner Code = 5
	// CodeUnavailable reports that something the handler needs is unavailable.
	CodeUnavailable Code = 6
	// CodeNotFound reports that the named thing is unknown.
	CodeNotFound Code = 7
	// CodeDeadline reports that the handler ran out of time; the outcome is unknown.
	CodeDeadline Code = 8
)

// Errors of a Client that no server sent. Test with errors.Is.
var (
	// ErrNotSent reports that no byte of the call left this instance.
	ErrNotSent = errors.New("entry: the call was not sent")
	// ErrNoAnswer reports that the call may have left but got no answer, so its
	// outcome is unknown.
	ErrNoAnswer = errors.New("entry: no answer")
)

// Error is a failure that a server reports to the caller. It crosses the wire
// unchanged.
type Error struct {
	Code    Code
	Message string
	// Data is optional detail as JSON.
	Data json.RawMessage
}

// Errorf returns an Error with a code and a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error returns the message and the code.
func (e *Error) Error() string {
	return fmt.Sprintf("entry: %s (code %d)", e.Message, e.Code)
}

// Is reports whether target is an Error of the same code, so that
// errors.Is(err, &Error{Code: CodeBusy}) works.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// CodeOf returns the code of the Error in err's chain, and 0 when there is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// wireError converts a handler's error to the form on the wire.
func wireError(err error) *jsonrpc2.Error {
	var typed *Error
	switch {
	case errors.As(err, &typed):
	case errors.Is(err, context.DeadlineExceeded):
		typed = &Error{Code: CodeDeadline, Message: err.Error()}
	default:
		typed = &Error{Code: CodeInternal, Message: err.Error()}
	}
	wire := &jsonrpc2.Error{Code: int64(typed.Code), Message: typed.Message}
	if json.Valid(typed.Data) {
		wire.Data = &typed.Data
	}
	return wire
}

// fromWire converts an error of a jsonrpc2 call to an Error or ErrNoAnswer.
func fromWire(err error) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	typed := &Error{Code: Code(wire.Code), Message: wire.Message}
	if wire.Data != nil {
		typed.Data = *wire.Data
	}
	return typed
}

// decodeStrict decodes exactly one JSON value and refuses unknown fields.
func decodeStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}
