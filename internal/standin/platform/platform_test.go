package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
)

var (
	server  *platform.Server
	clock   *clockwork.FakeClock
	address string
)

var _ = BeforeEach(func() {
	clock = clockwork.NewFakeClock()
	server = platform.New(clock, platform.Settings{})
	listening := httptest.NewServer(server)
	DeferCleanup(listening.Close)
	DeferCleanup(server.Close)
	address = listening.Listener.Addr().String()
})

func setFaults(faults platform.Faults) {
	GinkgoHelper()
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+address+platform.FaultsPath, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

var _ = Describe("The table service", func() {
	tx := table.Transaction{ID: "t", Writes: []table.Write{{Key: "k/1", Value: []byte("v")}, {Key: "k/2"}}}

	It("stores a committed transaction and lists it in the journal", func(ctx SpecContext) {
		client := table.Client{Address: address}
		result, err := client.Commit(ctx, tx)
		Expect(err).NotTo(HaveOccurred())
		rows, err := client.Read(ctx, "k/1", "absent")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(Equal([]table.Row{
			{Key: "k/1", Value: []byte("v"), Version: result.Versions["k/1"]}, {Key: "absent"},
		}))
		Expect(client.Scan(ctx, "k/", "k/1", 50_000)).To(HaveLen(1))
		Expect(server.Journal()).To(ConsistOf(platform.JournalEntry{Time: clock.Now(), Transaction: tx, Result: result}))
		Expect(server.Counters().Table.Reads.Total).To(Equal(uint64(2)))
	})

	It("returns all rows of a scan that exceeds one response", func(ctx SpecContext) {
		for _, key := range []table.Key{"a", "b", "c"} {
			large := table.Transaction{ID: table.TransactionID(key), Writes: []table.Write{{Key: key, Value: make([]byte, 4<<20)}}}
			_, err := server.Table().Commit(ctx, large)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(table.Client{Address: address, Timeout: time.Minute}.Scan(ctx, "", "", 10)).To(HaveLen(3))
	})

	It("drops the response to a commit that took effect", func(ctx SpecContext) {
		setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		client := table.Client{Address: address}
		_, err := client.Commit(ctx, tx)
		Expect(err).To(MatchError(table.ErrOutcomeUnknown))
		_, err = table.CommitResolved(ctx, client, clockwork.NewRealClock(), tx)
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Journal()).To(HaveLen(1))
	})

	It("commits nothing during an outage", func(ctx SpecContext) {
		setFaults(platform.Faults{Table: platform.ServiceFaults{Outage: true}})
		_, err := table.Client{Address: address}.Commit(ctx, tx)
		Expect(err).To(MatchError(table.ErrUnavailable))
		Expect(server.Journal()).To(BeEmpty())
	})

	It("applies a delayed commit after its caller has given up", func(ctx SpecContext) {
		setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: time.Second}})
		_, err := table.Client{Address: address, Timeout: 50 * time.Millisecond}.Commit(ctx, tx)
		Expect(err).To(MatchError(table.ErrOutcomeUnknown))
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(time.Second)
		Eventually(server.Journal).WithTimeout(2 * time.Second).Should(HaveLen(1))
	})
})

var _ = Describe("The object store", func() {
	It("stores objects under keys with any bytes", func(ctx SpecContext) {
		client := object.Client{Address: address}
		for _, key := range []object.Key{"checkpoint/a", "a//b/../c", "%2F?#"} {
			Expect(client.Put(ctx, key, []byte(key))).To(Succeed())
			Expect(client.Get(ctx, key)).To(Equal([]byte(key)))
			Expect(client.Delete(ctx, key)).To(Succeed())
			_, err := client.Get(ctx, key)
			Expect(err).To(MatchError(object.ErrNotFound))
		}
	})

	It("refuses a write during an outage", func(ctx SpecContext) {
		setFaults(platform.Faults{Object: platform.ServiceFaults{Outage: true}})
		Expect(object.Client{Address: address}.Put(ctx, "k", nil)).To(MatchError(object.ErrUnavailable))
	})
})

var _ = Describe("The membership list", func() {
	instance := membership.Instance{ID: "e1", Kind: membership.Entry, State: membership.Live, Zone: "hakata", Address: "127.0.0.1:1"}

	announce := func(ctx context.Context) {
		GinkgoHelper()
		Expect(membership.Client{Address: address}.Announce(ctx, instance)).To(Succeed())
	}

	expectListed := func(ctx context.Context, count int) membership.Snapshot {
		GinkgoHelper()
		snapshot, err := membership.Client{Address: address}.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Instances).To(HaveLen(count))
		return snapshot
	}

	It("lists an instance until its announcement term ends and then raises the revision", func(ctx SpecContext) {
		announce(ctx)
		clock.Advance(4 * time.Second)
		announce(ctx)
		clock.Advance(4 * time.Second)
		listed := expectListed(ctx, 1)
		Expect(listed.Instances).To(ConsistOf(instance))
		clock.Advance(2 * time.Second)
		Expect(expectListed(ctx, 0).Revision).To(BeNumerically(">", listed.Revision))
	})

	It("removes a withdrawn instance", func(ctx SpecContext) {
		announce(ctx)
		Expect(membership.Client{Address: address}.Withdraw(ctx, instance.ID)).To(Succeed())
		expectListed(ctx, 0)
	})

	It("refuses an instance without an availability zone", func(ctx SpecContext) {
		Expect(membership.Client{Address: address}.Announce(ctx, membership.Instance{ID: "x"})).To(MatchError(membership.ErrInvalid))
	})

	It("shows an earlier state under the fault MembershipLag", func(ctx SpecContext) {
		announce(ctx)
		setFaults(platform.Faults{MembershipLag: 3 * time.Second})
		expectListed(ctx, 0)
		clock.Advance(3 * time.Second)
		expectListed(ctx, 1)
		clock.Advance(4 * time.Second)
		expectListed(ctx, 1)
		clock.Advance(time.Second)
		expectListed(ctx, 0)
	})

	It("shows the state when the fault MembershipFrozen was set until it is cleared", func(ctx SpecContext) {
		setFaults(platform.Faults{MembershipFrozen: true})
		announce(ctx)
		expectListed(ctx, 0)
		setFaults(platform.Faults{})
		expectListed(ctx, 1)
	})

	It("keeps listing instances that couldn't announce themselves during an outage", func(ctx SpecContext) {
		announce(ctx)
		setFaults(platform.Faults{Membership: platform.ServiceFaults{Outage: true}})
		Expect(membership.Client{Address: address}.Announce(ctx, instance)).To(MatchError(membership.ErrUnavailable))
		clock.Advance(time.Minute)
		setFaults(platform.Faults{})
		clock.Advance(4 * time.Second)
		expectListed(ctx, 1)
	})
})
