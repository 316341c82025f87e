package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/protocol"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

var errInvalid = errors.New("invalid request")

// nothing is the message of a request without a body.
type nothing struct{}

func (s *Server) routes() {
	s.mux.Handle("POST "+table.ReadPath, route(s, tableService, read, s.readRows))
	s.mux.Handle("POST "+table.ScanPath, route(s, tableService, read, s.scanRows))
	s.mux.Handle("POST "+table.CommitPath, route(s, tableService, write, s.table.Commit))
	s.mux.Handle("POST "+table.OutcomePath, route(s, tableService, read, s.outcome))
	s.mux.Handle("GET "+membership.ListPath, route(s, membershipService, read, s.listInstances))
	s.mux.Handle("POST "+membership.ListAfterPath, route(s, membershipService, read, s.listAfter))
	s.mux.Handle("POST "+membership.AnnouncePath, route(s, membershipService, write, s.announce))
	s.mux.Handle("POST "+membership.WithdrawPath, route(s, membershipService, write, s.withdraw))
	s.mux.Handle("PUT "+FaultsPath, control(func(f Faults) (Faults, error) { return f, s.SetFaults(f) }))
	s.mux.Handle("GET "+FaultsPath, control(func(nothing) (Faults, error) { return s.Faults(), nil }))
	s.mux.Handle("GET "+JournalPath, control(func(nothing) ([]JournalEntry, error) { return s.Journal(), nil }))
	s.mux.Handle("GET "+CountersPath, control(func(nothing) (Counters, error) { return s.Counters(), nil }))
}

// route handles a request to a service with its faults and counters.
func route[Message, Answer any](
	s *Server, service service, access access, run func(context.Context, Message) (Answer, error),
) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.usage.count(service, access)
		message, err := decode[Message](r)
		if err == nil {
			err = s.admit(service)
		}
		var answer Answer
		if err == nil {
			// A caller that stopped waiting doesn't undo its request.
			answer, err = run(context.WithoutCancel(r.Context()), message)
		}
		s.loseAnswer(service, access)
		reply(w, answer, err)
	})
}

// loseAnswer cuts the connection if the service loses acknowledgements.
func (s *Server) loseAnswer(service service, access access) {
	faults := s.Faults().of(service)
	if access == write && faults.LoseAcknowledgements && !faults.Outage {
		panic(http.ErrAbortHandler)
	}
}

// control handles a request to the stand-in itself.
func control[Message, Answer any](run func(Message) (Answer, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message, err := decode[Message](r)
		var answer Answer
		if err == nil {
			answer, err = run(message)
		}
		reply(w, answer, err)
	})
}

func decode[Message any](r *http.Request) (Message, error) {
	var message Message
	if r.Method == http.MethodGet {
		return message, nil
	}
	body, err := readBody(r, protocol.MaxMessage)
	if err != nil {
		return message, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		return message, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return message, nil
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: body of more than %d bytes", errInvalid, limit)
	}
	return body, nil
}

func reply(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(answer)
}

func refuse(w http.ResponseWriter, err error) {
	status, reason := http.StatusServiceUnavailable, protocol.Unavailable
	switch {
	case errors.Is(err, table.ErrConflict):
		status, reason = http.StatusConflict, protocol.Conflict
	case errors.Is(err, object.ErrNotFound):
		status, reason = http.StatusNotFound, protocol.NotFound
	case errors.Is(err, errInvalid), errors.Is(err, table.ErrInvalid),
		errors.Is(err, object.ErrInvalid), errors.Is(err, membership.ErrInvalid):
		status, reason = http.StatusBadRequest, protocol.Invalid
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(protocol.Refusal{Reason: reason, Message: err.Error()})
}
