package service

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// KeyRouter dispatches tickets and caller-made keys to their stores. A key that contains
// a slash is a ticket.
type KeyRouter struct {
	Tickets    KeyClaimer
	CallerKeys KeyClaimer
}

// Claim claims the key in the store for its kind.
func (k KeyRouter) Claim(ctx context.Context, service manifest.ServiceName, key string) (ClaimResult, error) {
	if strings.Contains(key, "/") {
		return k.Tickets.Claim(ctx, service, key)
	}
	return k.CallerKeys.Claim(ctx, service, key)
}

// claimState is the progress of claiming the key of a request.
type claimState int

const (
	claimNone claimState = iota
	// claimPending means that the claim is unanswered or its result is uncertain.
	claimPending
	claimDone
)

// claimKey claims the key of the request before the request is sent. It returns nil if
// the request may be sent. A key that was claimed for an earlier attempt of the same
// request, which did not run, is not claimed again.
func (x *exchange) claimKey(ctx context.Context) *attemptResult {
	if x.call.key == "" || x.hasClaimState(claimDone) {
		return nil
	}
	if x.Keys == nil {
		return &attemptResult{outcome: NotRun, reason: ReasonNoKeys, final: true}
	}
	x.setClaimState(claimPending)
	claimed, err := x.Keys.Claim(ctx, x.call.service.Name, x.call.key)
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		x.setClaimState(claimNone)
		return &attemptResult{outcome: NotRun, reason: refusal.Reason, retryAfter: refusal.RetryAfter, facts: refusal.Facts, final: true}
	case err != nil:
		return &attemptResult{outcome: Unknown, reason: ReasonKeyUncertain, final: true}
	case !claimed.Claimed:
		return &attemptResult{outcome: Unknown, reason: claimReason(claimed), final: true, statusOverride: http.StatusConflict}
	}
	x.setClaimState(claimDone)
	return nil
}

// claimReason returns why a key was not claimed.
func claimReason(claimed ClaimResult) Reason {
	if claimed.Reason == "" {
		return ReasonAlreadyStarted
	}
	return claimed.Reason
}

func (x *exchange) setClaimState(state claimState) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.claim = state
}

func (x *exchange) hasClaimState(state claimState) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.claim == state
}
