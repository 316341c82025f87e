package membership

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/protocol"
)

// Paths of the membership service.
const (
	// ListPath accepts GET and returns a Snapshot.
	ListPath = "/membership"
	// ListAfterPath accepts POST with a ListAfterRequest and returns a ListAfterAnswer.
	ListAfterPath = "/membership/after"
	// AnnouncePath accepts POST with an Instance.
	AnnouncePath = "/membership/announce"
	// WithdrawPath accepts POST with a WithdrawRequest.
	WithdrawPath = "/membership/withdraw"
)

// AnnounceTerm is how long an instance stays listed after an announcement, by default.
const AnnounceTerm = 5 * time.Second

// Errors of a Client. They are wrapped, so test for them with errors.Is.
var (
	// ErrUnavailable reports that the service is unavailable or can't be reached.
	ErrUnavailable = errors.New("membership: service unavailable")
	// ErrInvalid reports that the service rejects the request as invalid.
	ErrInvalid = errors.New("membership: invalid request")
)

// WithdrawRequest is a request to remove an instance from the list.
type WithdrawRequest struct {
	ID InstanceID
}

// EmptyAnswer is the empty response to an announcement or a withdrawal.
type EmptyAnswer struct{}

// Client calls the membership service over HTTP. Each call ends when its context ends
// or Timeout has passed, whichever is earlier.
type Client struct {
	// Address is the host:port of the platform.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout is how long a call may make no progress; 0 means protocol.DefaultTimeout.
	Timeout time.Duration
}

// List returns the list, which may lag behind the actual state of the instances. It
// fails with ErrUnavailable.
func (c Client) List(ctx context.Context) (Snapshot, error) {
	return call[Snapshot](ctx, c, http.MethodGet, ListPath, nil)
}

// ListAfterRequest requests the list, unless its current revision is Revision.
type ListAfterRequest struct {
	Revision uint64
}

// ListAfterAnswer is the response to a ListAfterRequest. Snapshot is empty if the list
// is unchanged.
type ListAfterAnswer struct {
	Unchanged bool
	Snapshot  Snapshot
}

// ListAfter returns the list, or reports that its revision is unchanged. With 20,000
// workers the list has about 20 MB and changes only once in several seconds, so most
// polls don't need to transfer it. ListAfter fails with ErrUnavailable.
func (c Client) ListAfter(ctx context.Context, revision uint64) (snapshot Snapshot, changed bool, err error) {
	answer, err := call[ListAfterAnswer](ctx, c, http.MethodPost, ListAfterPath, ListAfterRequest{Revision: revision})
	return answer.Snapshot, !answer.Unchanged, err
}

// Announce adds an instance to the list for AnnounceTerm, or updates its entry. It is
// idempotent. It fails with ErrUnavailable or ErrInvalid.
func (c Client) Announce(ctx context.Context, instance Instance) error {
	_, err := call[EmptyAnswer](ctx, c, http.MethodPost, AnnouncePath, instance)
	return err
}

// Withdraw removes an instance from the list; a missing one is not an error. It is
// idempotent. It fails with ErrUnavailable or ErrInvalid.
func (c Client) Withdraw(ctx context.Context, id InstanceID) error {
	_, err := call[EmptyAnswer](ctx, c, http.MethodPost, WithdrawPath, WithdrawRequest{ID: id})
	return err
}

const (
	// maxSlots limits the slots and the connections of an executor.
	maxSlots = 1_000_000
	maxPort  = 65535
)

// Validate returns ErrInvalid unless the instance has an id, a known kind and state, an
// availability zone, an address with a port, and a capacity within the limits, as the
// membership service requires.
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
	if !hasPort(i.Address) || (i.OperatorAddress != "" && !hasPort(i.OperatorAddress)) {
		return fmt.Errorf("%w: instance %q needs addresses of the form host:port with a port from 1 to %d, not %q and %q",
			ErrInvalid, i.ID, maxPort, i.Address, i.OperatorAddress)
	}
	if !i.Capacity.IsInstanceCapacity() {
		return fmt.Errorf("%w: instance %q has the capacity %+v, which no instance can have", ErrInvalid, i.ID, i.Capacity)
	}
	if min(i.Slots, i.Connections) < 0 || max(i.Slots, i.Connections) > maxSlots {
		return fmt.Errorf("%w: instance %q has %d slots and %d connections, not from 0 to %d", ErrInvalid, i.ID, i.Slots, i.Connections, maxSlots)
	}
	return nil
}

func hasPort(address string) bool {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}

func call[Answer any](ctx context.Context, c Client, method, path string, message any) (Answer, error) {
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
