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
	if countFittingRows(rows) < len(rows) {
		return table.ReadAnswer{}, fmt.Errorf("%w: the rows exceed %d bytes", table.ErrInvalid, table.MaxReadBytes)
	}
	return table.ReadAnswer{Rows: rows}, nil
}

func (s *Server) scanRows(ctx context.Context, request table.ScanRequest) (table.ScanAnswer, error) {
	if request.Limit > table.MaxRows {
		return table.ScanAnswer{}, fmt.Errorf("%w: scan limit %d, maximum is %d", table.ErrInvalid, request.Limit, table.MaxRows)
	}
	rows, err := s.table.Scan(ctx, request.Prefix, request.After, request.Limit)
	if err != nil {
		return table.ScanAnswer{}, err
	}
	count := countFittingRows(rows)
	return table.ScanAnswer{Rows: rows[:count], More: count < len(rows)}, nil
}

// countFittingRows returns the number of leading rows whose values fit in one response.
func countFittingRows(rows []table.Row) int {
	size := 0
	for i, row := range rows {
		size += len(row.Value)
		if size > table.MaxReadBytes {
			return i
		}
	}
	return len(rows)
}

func (s *Server) lookUpOutcome(ctx context.Context, request table.OutcomeRequest) (table.OutcomeAnswer, error) {
	result, committed, err := s.table.Outcome(ctx, request.ID)
	return table.OutcomeAnswer{Committed: committed, Result: result}, err
}

func (s *Server) listInstances(context.Context, emptyMessage) (membership.Snapshot, error) {
	return s.instances.visibleSnapshot(s.clock.Now()), nil
}

func (s *Server) listAfter(_ context.Context, request membership.ListAfterRequest) (membership.ListAfterAnswer, error) {
	snapshot := s.instances.visibleSnapshot(s.clock.Now())
	if snapshot.Revision == request.Revision {
		return membership.ListAfterAnswer{Unchanged: true}, nil
	}
	return membership.ListAfterAnswer{Snapshot: snapshot}, nil
}

func (s *Server) announce(_ context.Context, instance membership.Instance) (membership.EmptyAnswer, error) {
	return membership.EmptyAnswer{}, s.instances.announce(s.clock.Now(), instance)
}

func (s *Server) withdraw(_ context.Context, request membership.WithdrawRequest) (membership.EmptyAnswer, error) {
	s.instances.withdraw(s.clock.Now(), request.ID)
	return membership.EmptyAnswer{}, nil
}
