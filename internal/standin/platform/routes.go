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

// emptyMessage is the decoded message of a request that has no body.
type emptyMessage struct{}

func (s *Server) registerRoutes() {
	s.mux.Handle("POST "+table.ReadPath, serviceHandler(s, tableService, read, s.readRows))
	s.mux.Handle("POST "+table.ScanPath, serviceHandler(s, tableService, read, s.scanRows))
	s.mux.Handle("POST "+table.CommitPath, serviceHandler(s, tableService, write, s.table.Commit))
	s.mux.Handle("POST "+table.OutcomePath, serviceHandler(s, tableService, read, s.lookUpOutcome))
	s.mux.Handle("GET "+membership.ListPath, serviceHandler(s, membershipService, read, s.listInstances))
	s.mux.Handle("POST "+membership.ListAfterPath, serviceHandler(s, membershipService, read, s.listAfter))
	s.mux.Handle("POST "+membership.AnnouncePath, serviceHandler(s, membershipService, write, s.announce))
	s.mux.Handle("POST "+membership.WithdrawPath, serviceHandler(s, membershipService, write, s.withdraw))
	s.mux.Handle("PUT "+FaultsPath, controlHandler(func(f Faults) (Faults, error) { return f, s.SetFaults(f) }))
	s.mux.Handle("GET "+FaultsPath, controlHandler(func(emptyMessage) (Faults, error) { return s.Faults(), nil }))
	s.mux.Handle("GET "+JournalPath, controlHandler(func(emptyMessage) ([]JournalEntry, error) { return s.Journal(), nil }))
	s.mux.Handle("GET "+CountersPath, controlHandler(func(emptyMessage) (Counters, error) { return s.Counters(), nil }))
}

// serviceHandler returns a handler of requests to a service that counts them and
// applies the service's faults.
func serviceHandler[Message, Answer any](
	s *Server, service service, access access, handle func(context.Context, Message) (Answer, error),
) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.count(service, access)
		message, err := decode[Message](r)
		if err == nil {
			err = s.delayOrRefuse(service)
		}
		var response Answer
		if err == nil {
			// A request takes effect even if its caller stops waiting.
			response, err = handle(context.WithoutCancel(r.Context()), message)
		}
		s.dropResponse(service, access)
		writeResponse(w, response, err)
	})
}

// dropResponse closes the connection without a response to a write if the service has
// the fault LoseAcknowledgements.
func (s *Server) dropResponse(service service, access access) {
	faults := s.Faults().forService(service)
	if access == write && faults.LoseAcknowledgements && !faults.Outage {
		panic(http.ErrAbortHandler)
	}
}

// controlHandler returns a handler of requests that control the stand-in itself, which
// are neither counted nor subject to faults.
func controlHandler[Message, Answer any](handle func(Message) (Answer, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message, err := decode[Message](r)
		var response Answer
		if err == nil {
			response, err = handle(message)
		}
		writeResponse(w, response, err)
	})
}

func decode[Message any](r *http.Request) (Message, error) {
	var message Message
	if r.Method == http.MethodGet {
		return message, nil
	}
	body, err := readBody(r, protocol.MaxMessageBytes)
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
		return nil, fmt.Errorf("%w: the body exceeds %d bytes", errInvalid, limit)
	}
	return body, nil
}

func writeResponse(w http.ResponseWriter, response any, err error) {
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(response)
}

func writeRefusal(w http.ResponseWriter, err error) {
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
