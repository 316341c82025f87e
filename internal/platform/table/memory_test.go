package table_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

func newTransaction(id table.TransactionID, key table.Key, value string, conditions ...table.Condition) table.Transaction {
	return table.Transaction{ID: id, Conditions: conditions, Writes: []table.Write{{Key: key, Value: []byte(value)}}}
}

func expectValue(ctx context.Context, store table.Store, key table.Key, value string) {
	GinkgoHelper()
	rows, err := store.Read(ctx, key)
	Expect(err).NotTo(HaveOccurred())
	Expect(rows).To(HaveLen(1))
	Expect(string(rows[0].Value)).To(Equal(value))
}

var _ = Describe("Memory", func() {
	var store *table.Memory

	BeforeEach(func() { store = &table.Memory{} })

	It("writes nothing when a condition does not hold", func(ctx SpecContext) {
		_, err := store.Commit(ctx, newTransaction("a", "k", "1", table.Condition{Key: "k", Version: 7}))
		Expect(err).To(MatchError(table.ErrConflict))
		expectValue(ctx, store, "k", "")
	})

	It("applies a repeated transaction once", func(ctx SpecContext) {
		first, err := store.Commit(ctx, newTransaction("a", "k", "1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, newTransaction("b", "k", "2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Commit(ctx, newTransaction("a", "k", "1"))).To(Equal(first))
		expectValue(ctx, store, "k", "2")
	})

	It("rejects a delayed transaction whose outcome was reported as not committed", func(ctx SpecContext) {
		_, committed, err := store.Outcome(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(committed).To(BeFalse())
		_, err = store.Commit(ctx, newTransaction("a", "k", "1"))
		Expect(err).To(MatchError(table.ErrConflict))
		expectValue(ctx, store, "k", "")
	})

	It("gives a row that is deleted and created again a new version", func(ctx SpecContext) {
		first, err := store.Commit(ctx, newTransaction("a", "k", "1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, table.Transaction{ID: "b", Writes: []table.Write{{Key: "k", Delete: true}}})
		Expect(err).NotTo(HaveOccurred())
		second, err := store.Commit(ctx, newTransaction("c", "k", "1", table.Condition{Key: "k"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Versions["k"]).To(BeNumerically(">", first.Versions["k"]))
	})

	It("rejects two writes of one row, because their order would be ambiguous", func(ctx SpecContext) {
		tx := newTransaction("a", "k", "1")
		tx.Writes = append(tx.Writes, tx.Writes...)
		_, err := store.Commit(ctx, tx)
		Expect(err).To(MatchError(table.ErrInvalid))
	})

	DescribeTable("scans the rows under a prefix in key order",
		func(ctx SpecContext, prefix, after table.Key, limit int, want ...table.Key) {
			for _, key := range []table.Key{"b/2", "a", "b", "c", "b/1"} {
				_, err := store.Commit(ctx, newTransaction(table.TransactionID(key), key, "v"))
				Expect(err).NotTo(HaveOccurred())
			}
			rows, err := store.Scan(ctx, prefix, after, limit)
			Expect(err).NotTo(HaveOccurred())
			var keys []table.Key
			for _, row := range rows {
				keys = append(keys, row.Key)
			}
			Expect(keys).To(Equal(want))
		},
		Entry("scan from the start", table.Key("b"), table.Key(""), 9, table.Key("b"), table.Key("b/1"), table.Key("b/2")),
		Entry("scan after a row", table.Key("b"), table.Key("b"), 9, table.Key("b/1"), table.Key("b/2")),
		Entry("scan after a missing row", table.Key("b"), table.Key("b/11"), 9, table.Key("b/2")),
		Entry("scan up to the limit", table.Key(""), table.Key("a"), 2, table.Key("b"), table.Key("b/1")),
	)
})
