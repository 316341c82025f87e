package routing

import (
	"context"
	"errors"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
)

// Sender sends attempts with an executor client. It implements service.Sender.
type Sender struct {
	Client *executor.Client
}

// Do makes one attempt.
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
	class := service.Unknown
	if failed.Class == executor.NotRun {
		class = service.NotRun
	}
	return nil, &service.SendError{Class: class, Reason: service.Reason(failed.Reason)}
}
