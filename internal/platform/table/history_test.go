package table_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

var _ = Describe("History", func() {
	start := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
	row := func(key table.Key, version table.Version) table.Row {
		return table.Row{Key: key, Version: version}
	}
	put := func(key table.Key, version table.Version) table.Change {
		return table.Change{Row: row(key, version)}
	}
	removal := func(key table.Key, version table.Version) table.Change {
		return table.Change{Row: row(key, version), Removed: true}
	}

	expectSince := func(h *table.History, after, version table.Version, want ...table.Change) {
		GinkgoHelper()
		changes, complete, err := h.Since(after)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(Equal(want))
		Expect(complete).To(Equal(version))
	}

	It("returns the last change of each row after a version, in order", func() {
		var h table.History
		h.Reset([]table.Row{row("a", 3), row("b", 5)}, 6, start)
		h.Apply([]table.Change{put("b", 7), removal("a", 8), put("b", 9)}, 12, start)
		expectSince(&h, 6, 12, removal("a", 8), put("b", 9))
		expectSince(&h, 8, 12, put("b", 9))
		expectSince(&h, 12, 12)
	})

	It("fails with ErrCompacted for versions whose later changes it doesn't know", func() {
		var h table.History
		_, _, err := h.Since(0)
		Expect(err).To(MatchError(table.ErrCompacted))
		h.Apply([]table.Change{put("a", 2)}, 2, start)
		_, _, err = h.Since(0)
		Expect(err).To(MatchError(table.ErrCompacted))
		h.Reset(nil, 6, start)
		_, _, err = h.Since(5)
		Expect(err).To(MatchError(table.ErrCompacted))
	})

	It("finds the rows that were removed between two reads of all rows", func() {
		var h table.History
		h.Reset([]table.Row{row("a", 3), row("b", 5)}, 6, start)
		h.Reset([]table.Row{row("b", 9), row("c", 8)}, 12, start)
		expectSince(&h, 6, 12, put("c", 8), put("b", 9), removal("a", 12))
	})

	// Guards against an instance that goes back to an older row of an instance that is behind.
	It("keeps the newer version of a row, and never goes back to an older version", func() {
		var h table.History
		h.Reset([]table.Row{row("a", 9)}, 9, start)
		h.Apply([]table.Change{put("a", 4)}, 5, start)
		expectSince(&h, 9, 9)
		expectSince(&h, 20, 20)
	})

	It("forgets removed rows beyond a limit, and then the changes before", func() {
		var h table.History
		h.Reset(nil, 1, start)
		const rows = 1001
		for n := range rows {
			h.Apply([]table.Change{removal(table.Key(fmt.Sprint(n)), table.Version(n+2))}, table.Version(n+2), start)
		}
		_, _, err := h.Since(1)
		Expect(err).To(MatchError(table.ErrCompacted))
		expectSince(&h, rows+1, rows+1)
	})

	It("remembers when the service was last read, and wakes waiters at a change only", func() {
		var h table.History
		h.Reset(nil, 1, start)
		changed := h.Changed()
		h.Apply(nil, 2, start.Add(time.Second))
		Expect(changed).NotTo(BeClosed())
		h.Apply(nil, 2, start)
		Expect(h.ReadAt()).To(Equal(start.Add(time.Second)))
		h.Apply([]table.Change{put("a", 3)}, 3, start)
		Expect(changed).To(BeClosed())
	})
})
