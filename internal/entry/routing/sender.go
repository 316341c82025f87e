package routing

import (
	"context"
	"errors"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
)

// Sender sends requests to executors with an executor client. It implements
// service.Sender.
type Sender struct {
	Client *executor.Client
}

// Do makes one attempt to send a request. A failure of the client is returned as
// *service.SendError, which says whether the executor may have run the request.
func (s Sender) Do(ctx context.Context, attempt service.Attempt) (*service.Response, error) {
	response, err := s.Client.Do(ctx, executor.Attempt{
		Address:          attempt.Address,
		Request:          attempt.Request,
		FirstByteTimeout: attempt.FirstByteTimeout,
		IdleTimeout:      attempt.IdleTimeout,
	})
	if err == nil {
		return &service.Response{StatusCode: response.StatusCode, Header: response.Header, Body: response.Body}, nil
	}
	var failed *executor.Error
	if !errors.As(err, &failed) {
		return nil, err
	}
	outcome := service.Unknown
	if failed.Class == executor.NotRun {
		outcome = service.NotRun
	}
	return nil, &service.SendError{Outcome: outcome, Reason: service.Reason(failed.Reason)}
}
