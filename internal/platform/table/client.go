package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/protocol"
)

// Paths of the table service. All accept POST with a JSON body.
const (
	ReadPath    = "/table/read"
	ScanPath    = "/table/scan"
	CommitPath  = "/table/commit"
	OutcomePath = "/table/outcome"
)

// ReadRequest requests rows by their keys.
type ReadRequest struct {
	Keys []Key
}

// ReadAnswer contains one row for each requested key.
type ReadAnswer struct {
	Rows []Row
}

// ScanRequest requests up to Limit rows whose keys start with Prefix and sort after
// After.
type ScanRequest struct {
	Prefix Key
	After  Key
	Limit  int
}

// ScanAnswer is a page of rows. More reports that the page has fewer rows than the limit
// because of its size, and that the scan continues after its last row.
type ScanAnswer struct {
	Rows []Row
	More bool
}

// OutcomeRequest requests the outcome of a transaction.
type OutcomeRequest struct {
	ID TransactionID
}

// OutcomeAnswer contains the outcome of a transaction.
type OutcomeAnswer struct {
	Committed bool
	Result    Result
}

// Client is a Store that calls the table service over HTTP. Each request ends when its
// context ends or Timeout has passed, whichever is earlier.
type Client struct {
	// Address is the host:port of the platform.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout is how long a request may make no progress; 0 means protocol.DefaultTimeout.
	Timeout time.Duration
}

// Read returns one row for each key. It fails with ErrUnavailable or ErrInvalid.
func (c Client) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	answer, err := post[ReadAnswer](ctx, c, ReadPath, ReadRequest{Keys: keys})
	if err != nil {
		return nil, classify(err, ErrUnavailable)
	}
	if len(answer.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: response has %d rows, want %d", ErrUnavailable, len(answer.Rows), len(keys))
	}
	return answer.Rows, nil
}

// Scan returns up to limit rows in key order. It requests them in pages, which the
// service may read at different times. It fails with ErrUnavailable or ErrInvalid.
func (c Client) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if limit < 1 {
		return nil, fmt.Errorf("%w: scan limit is %d, want at least 1", ErrInvalid, limit)
	}
	var rows []Row
	for len(rows) < limit {
		pageLimit := min(limit-len(rows), MaxRows)
		page, err := post[ScanAnswer](ctx, c, ScanPath, ScanRequest{Prefix: prefix, After: after, Limit: pageLimit})
		if err != nil {
			return nil, classify(err, ErrUnavailable)
		}
		rows = append(rows, page.Rows...)
		if len(page.Rows) == 0 || (!page.More && len(page.Rows) < pageLimit) {
			break
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
	return rows, nil
}

// Commit applies a transaction. It fails with ErrConflict, ErrUnavailable or ErrInvalid,
// or with ErrOutcomeUnknown if the service may have received the request but no usable
// response was received.
func (c Client) Commit(ctx context.Context, tx Transaction) (Result, error) {
	result, err := post[Result](ctx, c, CommitPath, tx)
	if err != nil {
		return Result{}, classify(err, ErrOutcomeUnknown)
	}
	return result, nil
}

// Outcome reports whether a transaction was committed. If it was not, it never will be.
// Outcome fails with ErrUnavailable or ErrInvalid.
func (c Client) Outcome(ctx context.Context, id TransactionID) (Result, bool, error) {
	answer, err := post[OutcomeAnswer](ctx, c, OutcomePath, OutcomeRequest{ID: id})
	if err != nil {
		return Result{}, false, classify(err, ErrUnavailable)
	}
	return answer.Result, answer.Committed, nil
}

func post[Answer any](ctx context.Context, c Client, path string, request any) (Answer, error) {
	endpoint := protocol.Endpoint{Address: c.Address, HTTP: c.HTTP, Timeout: c.Timeout}
	return protocol.Exchange[Answer](ctx, endpoint, http.MethodPost, path, request)
}

// classify wraps err with the package's error for it. noAnswerErr is the error for a
// request that the service may have received but that got no usable response.
func classify(err, noAnswerErr error) error {
	var refusal *protocol.Refusal
	sentinel := ErrUnavailable
	switch {
	case protocol.MayHaveEffect(err):
		sentinel = noAnswerErr
	case errors.As(err, &refusal) && refusal.Reason == protocol.Conflict:
		sentinel = ErrConflict
	case errors.As(err, &refusal) && refusal.Reason == protocol.Invalid:
		sentinel = ErrInvalid
	}
	return fmt.Errorf("%w: %w", sentinel, err)
}
