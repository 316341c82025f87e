package membership

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/protocol"
)

// Paths of the membership service.
const (
	// ListPath takes GET and answers with a Snapshot.
	ListPath = "/membership"
	// ListAfterPath takes POST of a ListAfterRequest and answers with a ListAfterAnswer.
	ListAfterPath = "/membership/after"
	// AnnouncePath takes POST with an Instance.
	AnnouncePath = "/membership/announce"
	// WithdrawPath takes POST with a WithdrawRequest.
	WithdrawPath = "/membership/withdraw"
)

// AnnounceTerm is how long an announcement keeps an instance listed by default.
const AnnounceTerm = 5 * time.Second

// Errors of a Client. They are wrapped, so test with errors.Is.
var (
	// ErrUnavailable reports that the service refused or could not be reached.
	ErrUnavailable = errors.New("membership: service unavailable")
	// ErrInvalid reports that the service rejects the instance.
	ErrInvalid = errors.New("membership: invalid request")
)

// WithdrawRequest asks to remove an instance from the list.
type WithdrawRequest struct {
	ID InstanceID
}

// Done is the empty answer to an announcement and a withdrawal.
type Done struct{}

// Client calls the membership service over HTTP. A call is bounded by its
// context and by Timeout, whichever ends first.
type Client struct {
	// Address is the host:port of the platform.
	Address string
	// HTTP sends the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; 0 stands for protocol.DefaultTimeout.
	Timeout time.Duration
}

// List returns the list, which lags behind the instances. It fails with
// ErrUnavailable.
func (c Client) List(ctx context.Context) (Snapshot, error) {
	return exchange[Snapshot](ctx, c, http.MethodGet, ListPath, nil)
}

// ListAfterRequest asks for the list if its revision isn't Revision.
type ListAfterRequest struct {
	Revision uint64
}

// ListAfterAnswer has the list, or no list if it is unchanged.
type ListAfterAnswer struct {
	Unchanged bool
	Snapshot  Snapshot
}

// ListAfter returns the list, or reports that it still has the revision. At 20,000
// workers the list has about 20 MB and changes once in several seconds, so most polls
// need not carry it. It fails with ErrUnavailable.
func (c Client) ListAfter(ctx context.Context, revision uint64) (snapshot Snapshot, changed bool, err error) {
	answer, err := exchange[ListAfterAnswer](ctx, c, http.MethodPost, ListAfterPath, ListAfterRequest{Revision: revision})
	return answer.Snapshot, !answer.Unchanged, err
}

// Announce lists an instance for AnnounceTerm, or updates its entry. It fails
// with ErrUnavailable or ErrInvalid and may be repeated.
func (c Client) Announce(ctx context.Context, instance Instance) error {
	_, err := exchange[Done](ctx, c, http.MethodPost, AnnouncePath, instance)
	return err
}

// Withdraw removes an instance from the list; an absent one is no error. It fails
// with ErrUnavailable or ErrInvalid and may be repeated.
func (c Client) Withdraw(ctx context.Context, id InstanceID) error {
	_, err := exchange[Done](ctx, c, http.MethodPost, WithdrawPath, WithdrawRequest{ID: id})
	return err
}

// Validate fails with ErrInvalid unless the membership service accepts the
// instance: it needs an id, a known kind and state, an availability zone and an
// address.
func (i Instance) Validate() error {
	if i.ID == "" || i.Zone == "" || i.Address == "" {
		return fmt.Errorf("%w: instance %q needs an id, an availability zone and an address", ErrInvalid, i.ID)
	}
	if i.Kind != Entry && i.Kind != Worker && i.Kind != Executor {
		return fmt.Errorf("%w: instance %q has the unknown kind %q", ErrInvalid, i.ID, i.Kind)
	}
	if i.State != Live && i.State != Leaving {
		return fmt.Errorf("%w: instance %q has the unknown state %q", ErrInvalid, i.ID, i.State)
	}
	return nil
}

func exchange[Answer any](ctx context.Context, c Client, method, path string, message any) (Answer, error) {
	endpoint := protocol.Endpoint{Address: c.Address, HTTP: c.HTTP, Timeout: c.Timeout}
	answer, err := protocol.Exchange[Answer](ctx, endpoint, method, path, message)
	var refusal *protocol.Refusal
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &refusal) && refusal.Reason == protocol.Invalid:
		return answer, fmt.Errorf("%w: %w", ErrInvalid, err)
	default:
		return answer, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}
