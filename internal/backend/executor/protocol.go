// Package executor sends service requests to executors and classifies what became
// of them.
package executor

import "net/http"

// Headers between entry instances and executors.
const (
	// RequestHeader carries the id of a request. It is on requests and answers.
	RequestHeader = "Jacinthtrail-Request"
	// KeyHeader carries the key of a non-idempotent request.
	KeyHeader = "Jacinthtrail-Key"
	// StatusHeader carries StatusNotRun on an answer with status 503.
	StatusHeader = "Jacinthtrail-Executor"
	// StatusNotRun is an executor's statement that it did not run the request.
	StatusNotRun = "NotRun"
)

// saysNotRun reports whether the executor states that it did not run the request.
func saysNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(StatusHeader) == StatusNotRun
}
