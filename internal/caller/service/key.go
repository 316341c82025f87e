package service

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// KeyRouter tells tickets from caller-made keys. A key with a slash is a ticket.
type KeyRouter struct {
	Tickets    Keys
	CallerMade Keys
}

// Begin claims the key where its kind is kept.
func (k KeyRouter) Begin(ctx context.Context, service manifest.ServiceName, key string) (Started, error) {
	if strings.Contains(key, "/") {
		return k.Tickets.Begin(ctx, service, key)
	}
	return k.CallerMade.Begin(ctx, service, key)
}

// claimState tells how far the claim of a key got.
type claimState int

const (
	claimNone claimState = iota
	// claimOpen means that the claim has no answer yet, or an uncertain one.
	claimOpen
	claimDone
)

// claimKey claims the key of the request before anything is sent. It returns nil
// if the request may be sent. A key that was claimed for an earlier attempt of
// this request, which did not run, is not claimed again.
func (x *exchange) claimKey(ctx context.Context) *result {
	if x.call.key == "" || x.claimIs(claimDone) {
		return nil
	}
	if x.Keys == nil {
		return &result{outcome: NotRun, reason: ReasonNoKeys, final: true}
	}
	x.setClaim(claimOpen)
	started, err := x.Keys.Begin(ctx, x.call.service.Name, x.call.key)
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		x.setClaim(claimNone)
		return &result{outcome: NotRun, reason: refusal.Reason, retryAfter: refusal.RetryAfter, facts: refusal.Facts, final: true}
	case err != nil:
		return &result{outcome: Unknown, reason: ReasonKeyUncertain, final: true}
	case !started.First:
		return &result{outcome: Unknown, reason: keyReason(started), final: true, status: http.StatusConflict}
	}
	x.setClaim(claimDone)
	return nil
}

func keyReason(started Started) Reason {
	if started.Reason == "" {
		return ReasonAlreadyStarted
	}
	return started.Reason
}

func (x *exchange) setClaim(state claimState) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.claim = state
}

func (x *exchange) claimIs(state claimState) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.claim == state
}
