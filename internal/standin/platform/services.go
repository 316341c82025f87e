package platform

import (
	"context"
	"fmt"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

func (s *Server) readRows(ctx context.Context, request table.ReadRequest) (table.ReadAnswer, error) {
	rows, err := s.table.Read(ctx, request.Keys...)
	if err != nil {
		return table.ReadAnswer{}, err
	}
	if fitting(rows) < len(rows) {
		return table.ReadAnswer{}, fmt.Errorf("%w: more than %d bytes in the rows", table.ErrInvalid, table.MaxReadBytes)
	}
	return table.ReadAnswer{Rows: rows}, nil
}

func (s *Server) scanRows(ctx context.Context, request table.ScanRequest) (table.ScanAnswer, error) {
	if request.Limit > table.MaxRows {
		return table.ScanAnswer{}, fmt.Errorf("%w: scan limit %d, want at most %d", table.ErrInvalid, request.Limit, table.MaxRows)
	}
	rows, err := s.table.Scan(ctx, request.Prefix, request.After, request.Limit)
	if err != nil {
		return table.ScanAnswer{}, err
	}
	count := fitting(rows)
	return table.ScanAnswer{Rows: rows[:count], More: count < len(rows)}, nil
}

// fitting returns how many of the rows fit in one answer.
func fitting(rows []table.Row) int {
	size := 0
	for i, row := range rows {
		size += len(row.Value)
		if size > table.MaxReadBytes {
			return i
		}
	}
	return len(rows)
}

func (s *Server) outcome(ctx context.Context, request table.OutcomeRequest) (table.OutcomeAnswer, error) {
	result, committed, err := s.table.Outcome(ctx, request.ID)
	return table.OutcomeAnswer{Committed: committed, Result: result}, err
}

func (s *Server) listInstances(context.Context, nothing) (membership.Snapshot, error) {
	return s.list.shown(s.clock.Now()), nil
}

func (s *Server) listAfter(_ context.Context, request membership.ListAfterRequest) (membership.ListAfterAnswer, error) {
	snapshot := s.list.shown(s.clock.Now())
	if snapshot.Revision == request.Revision {
		return membership.ListAfterAnswer{Unchanged: true}, nil
	}
	return membership.ListAfterAnswer{Snapshot: snapshot}, nil
}

func (s *Server) announce(_ context.Context, instance membership.Instance) (membership.Done, error) {
	return membership.Done{}, s.list.announce(s.clock.Now(), instance)
}

func (s *Server) withdraw(_ context.Context, request membership.WithdrawRequest) (membership.Done, error) {
	s.list.withdraw(s.clock.Now(), request.ID)
	return membership.Done{}, nil
}
