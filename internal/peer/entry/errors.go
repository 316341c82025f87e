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

// Code classifies an Error. It is sent as the error code of the JSON-RPC response.
type Code int64

// Error codes. Negative codes are defined by JSON-RPC 2.0.
const (
	CodeParse          Code = jsonrpc2.CodeParseError
	CodeInvalidRequest Code = jsonrpc2.CodeInvalidRequest
	CodeUnknownMethod  Code = jsonrpc2.CodeMethodNotFound
	CodeInvalidParams  Code = jsonrpc2.CodeInvalidParams
	CodeInternal       Code = jsonrpc2.CodeInternalError
	// CodeBusy reports that the server had reached its limit of concurrent calls;
	// nothing was done.
	CodeBusy Code = 1
	// CodeTooLarge reports a message larger than MaxMessageBytes.
	CodeTooLarge Code = 2
	// CodeRefused reports that the handler rejected the call; nothing was done.
	CodeRefused Code = 3
	// CodeStaleEpoch reports a call with a superseded epoch; nothing was done.
	CodeStaleEpoch Code = 4
	// CodeNotOwner reports a call to an instance that does not own the shard.
	CodeNotOwner Code = 5
	// CodeUnavailable reports that a dependency of the handler is unavailable.
	CodeUnavailable Code = 6
	// CodeNotFound reports that the requested item does not exist.
	CodeNotFound Code = 7
	// CodeDeadline reports that the handler exceeded its deadline; the outcome is
	// unknown.
	CodeDeadline Code = 8
)

// Errors that a Client returns without a response from the server. Test for them with
// errors.Is.
var (
	// ErrNotSent reports that no byte of the call was sent.
	ErrNotSent = errors.New("entry: call was not sent")
	// ErrNoResponse reports that the call may have been sent but received no response,
	// so that its outcome is unknown.
	ErrNoResponse = errors.New("entry: no response")
)

// Error is a failure that a server reports to the caller. It is transmitted unchanged.
type Error struct {
	Code    Code
	Message string
	// Data holds optional details as JSON.
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

// Is reports whether target is an Error with the same code. It makes
// errors.Is(err, &Error{Code: CodeBusy}) work.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// CodeOf returns the code of the Error in err's chain, or 0 if there is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// toWireError converts a handler's error to a JSON-RPC error.
func toWireError(err error) *jsonrpc2.Error {
	var callErr *Error
	switch {
	case errors.As(err, &callErr):
	case errors.Is(err, context.DeadlineExceeded):
		callErr = &Error{Code: CodeDeadline, Message: err.Error()}
	default:
		callErr = &Error{Code: CodeInternal, Message: err.Error()}
	}
	wireErr := &jsonrpc2.Error{Code: int64(callErr.Code), Message: callErr.Message}
	if json.Valid(callErr.Data) {
		wireErr.Data = &callErr.Data
	}
	return wireErr
}

// fromWireError converts an error of a jsonrpc2 call to an Error, or to ErrNoResponse if
// the server sent none.
func fromWireError(err error) error {
	var wireErr *jsonrpc2.Error
	if !errors.As(err, &wireErr) {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	callErr := &Error{Code: Code(wireErr.Code), Message: wireErr.Message}
	if wireErr.Data != nil {
		callErr.Data = *wireErr.Data
	}
	return callErr
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
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
