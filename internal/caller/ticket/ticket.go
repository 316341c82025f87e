// Package ticket issues and claims tickets, which are single-use idempotency keys that
// callers fetch ahead of time. Tickets need no store: the entry instance that issued a
// ticket, its home, grants one claim of it.
package ticket

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// ErrFormat reports a ticket that is not home/incarnation/number.
var ErrFormat = errors.New("ticket: not of the form home/incarnation/number")

// Incarnation identifies one run of an entry instance.
type Incarnation string

// Ticket is a key that can be claimed once. Home is the entry instance that issued it.
type Ticket struct {
	Home        membership.InstanceID
	Incarnation Incarnation
	Number      uint64
}

// String formats the ticket as home/incarnation/number.
func (t Ticket) String() string {
	return fmt.Sprintf("%s/%s/%d", t.Home, t.Incarnation, t.Number)
}

// Parse parses a ticket that String formatted. It fails with ErrFormat.
func Parse(text string) (Ticket, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return Ticket{}, fmt.Errorf("%w: %q", ErrFormat, text)
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	t := Ticket{Home: membership.InstanceID(parts[0]), Incarnation: Incarnation(parts[1]), Number: number}
	if err != nil || t.String() != text {
		return Ticket{}, fmt.Errorf("%w: %q", ErrFormat, text)
	}
	return t, nil
}
