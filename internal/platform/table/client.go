package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/protocol"
)

// Paths of the table service. All take POST with a JSON body.
const (
	ReadPath    = "/table/read"
	ScanPath    = "/table/scan"
	CommitPath  = "/table/commit"
	OutcomePath = "/table/outcome"
)

// ReadRequest asks for rows.
type ReadRequest struct {
	Keys []Key
}

// ReadAnswer has one row for each key.
type ReadAnswer struct {
	Rows []Row
}

// ScanRequest asks for a page of rows.
type ScanRequest struct {
	Prefix Key
	After  Key
	Limit  int
}

// ScanAnswer is a page. More tells that the size of the page cut it short of the
// limit, so that the scan goes on after its last row.
type ScanAnswer struct {
	Rows []Row
	More bool
}

// OutcomeRequest asks for the outcome of a transaction.
type OutcomeRequest struct {
	ID TransactionID
}

// OutcomeAnswer tells the outcome of a transaction.
type OutcomeAnswer struct {
	Committed bool
	Result    Result
}

// Client is a Store that calls the table service over HTTP. A call is bounded by
// its context and by Timeout, whichever ends first.
type Client struct {
	// Address is the host:port of the platform.
	Address string
	// HTTP sends the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; 0 stands for protocol.DefaultTimeout.
	Timeout time.Duration
}

// Read returns one row for each key. It fails with ErrUnavailable or ErrInvalid.
func (c Client) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	answer, err := post[ReadAnswer](ctx, c, ReadPath, ReadRequest{Keys: keys})
	if err != nil {
		return nil, classify(err, ErrUnavailable)
	}
	if len(answer.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: %d rows in the answer to a read of %d", ErrUnavailable, len(answer.Rows), len(keys))
	}
	return answer.Rows, nil
}

// Scan returns up to limit rows in key order. Rows of different pages may be
// read at different moments. It fails with ErrUnavailable or ErrInvalid.
func (c Client) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if limit < 1 {
		return nil, fmt.Errorf("%w: scan limit %d", ErrInvalid, limit)
	}
	var rows []Row
	for len(rows) < limit {
		wanted := min(limit-len(rows), MaxRows)
		page, err := post[ScanAnswer](ctx, c, ScanPath, ScanRequest{Prefix: prefix, After: after, Limit: wanted})
		if err != nil {
			return nil, classify(err, ErrUnavailable)
		}
		rows = append(rows, page.Rows...)
		if len(page.Rows) == 0 || (!page.More && len(page.Rows) < wanted) {
			break
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
	return rows, nil
}

// Commit applies a transaction. It fails with ErrConflict, ErrUnavailable,
// ErrInvalid, or with ErrOutcomeUnknown if the request may have been received
// but no answer arrived.
func (c Client) Commit(ctx context.Context, tx Transaction) (Result, error) {
	result, err := post[Result](ctx, c, CommitPath, tx)
	if err != nil {
		return Result{}, classify(err, ErrOutcomeUnknown)
	}
	return result, nil
}

// Outcome reports whether a transaction was committed; if not, it never will be.
// It fails with ErrUnavailable or ErrInvalid.
func (c Client) Outcome(ctx context.Context, id TransactionID) (Result, bool, error) {
	answer, err := post[OutcomeAnswer](ctx, c, OutcomePath, OutcomeRequest{ID: id})
	if err != nil {
		return Result{}, false, classify(err, ErrUnavailable)
	}
	return answer.Result, answer.Committed, nil
}

func post[Answer any](ctx context.Context, c Client, path string, message any) (Answer, error) {
	endpoint := protocol.Endpoint{Address: c.Address, HTTP: c.HTTP, Timeout: c.Timeout}
	return protocol.Exchange[Answer](ctx, endpoint, http.MethodPost, path, message)
}

// classify wraps err in the error of its class; unanswered is the class of a
// request that may have been received.
func classify(err, unanswered error) error {
	var refusal *protocol.Refusal
	class := ErrUnavailable
	switch {
	case protocol.MayHaveEffect(err):
		class = unanswered
	case errors.As(err, &refusal) && refusal.Reason == protocol.Conflict:
		class = ErrConflict
	case errors.As(err, &refusal) && refusal.Reason == protocol.Invalid:
		class = ErrInvalid
	}
	return fmt.Errorf("%w: %w", class, err)
}
