// Package executor sends service requests to executors over HTTP and classifies
// failures by whether the request may have run.
package executor

import "net/http"

// Headers between entry instances and executors.
const (
	// RequestHeader carries the id of a request, in requests and responses.
	RequestHeader = "Jacinthtrail-Request"
	// KeyHeader carries the key of a non-idempotent request.
	KeyHeader = "Jacinthtrail-Key"
	// StatusHeader carries StatusNotRun in a response with status 503.
	StatusHeader = "Jacinthtrail-Executor"
	// StatusNotRun is the value by which an executor reports that it did not run the
	// request.
	StatusNotRun = "NotRun"
)

// statesNotRun reports whether a response states that the executor did not run the
// request.
func statesNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(StatusHeader) == StatusNotRun
}
