package control_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// fakeBackend returns err and records the arguments of Publish.
type fakeBackend struct {
	err       error
	published manifest.Manifest
	base      manifest.Version
	author    string
	wait      time.Duration
}

func (b *fakeBackend) Manifest() manifest.Published {
	return manifest.Published{Version: 7, Manifest: b.published}
}

func (b *fakeBackend) Publish(_ context.Context, m manifest.Manifest, base manifest.Version, author string, wait time.Duration) (control.PublishAnswer, error) {
	b.published, b.base, b.author, b.wait = m, base, author, wait
	return control.PublishAnswer{Version: base + 1, Missing: []membership.InstanceID{"entry-2"}}, b.err
}

func (b *fakeBackend) Zones(context.Context) ([]control.ZoneAnswer, error) {
	return []control.ZoneAnswer{{Name: "zone-a"}}, b.err
}

func (b *fakeBackend) SetZone(_ context.Context, name membership.Zone, _ zone.Service, _ string) (control.ZoneAnswer, error) {
	return control.ZoneAnswer{Name: name}, b.err
}

func (b *fakeBackend) Status(context.Context) control.StatusAnswer {
	return control.StatusAnswer{ID: "entry-1", Manifest: 7}
}

func (b *fakeBackend) Explain(_ context.Context, kind control.Kind, id string) (control.ExplainAnswer, error) {
	return control.ExplainAnswer{Kind: kind, ID: id}, b.err
}

func validManifest() manifest.Manifest {
	return manifest.Manifest{Zones: []manifest.Zone{{Name: "zone-a", Region: "region-a"}}}
}

var _ = Describe("Operator API", func() {
	var backend *fakeBackend
	var counters *counter.Set
	var client control.Client

	BeforeEach(func() {
		backend, counters = &fakeBackend{}, &counter.Set{}
		server := httptest.NewServer((&control.Server{Backend: backend, Counters: counters}).Handler())
		DeferCleanup(server.Close)
		client = control.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	})

	expectRefused := func(err error, status int, reason string) *control.RemoteError {
		GinkgoHelper()
		var remote *control.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
		Expect(remote.Status).To(Equal(status))
		Expect(remote.Answer.Reason).To(Equal(reason))
		Expect(counters.Values()).To(HaveKeyWithValue("Operator.Refused."+reason, int64(1)))
		return remote
	}

	publish := func(ctx context.Context, m manifest.Manifest) (control.PublishAnswer, error) {
		return client.Publish(ctx, m, 6, "operator", time.Second)
	}

	It("passes a publication to the backend and its answer to the client", func(ctx SpecContext) {
		answer, err := publish(ctx, validManifest())
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(control.PublishAnswer{Version: 7, Missing: []membership.InstanceID{"entry-2"}}))
		Expect(backend.published.Zones).To(Equal(validManifest().Zones))
		Expect([]any{backend.base, backend.author, backend.wait}).To(Equal([]any{manifest.Version(6), "operator", time.Second}))
		Expect(client.Manifest(ctx)).To(Equal(backend.Manifest()))
	})

	// Guards against a manifest check that reports only one finding at a time.
	It("reports all findings of a manifest and publishes nothing", func(ctx SpecContext) {
		bad := validManifest()
		bad.Zones[0].Region = ""
		bad.Limits.ShardsPerZone = -1
		bad.Limits.MaxQueuedJobs = -1
		_, err := publish(ctx, bad)
		remote := expectRefused(err, http.StatusUnprocessableEntity, "InvalidManifest")
		Expect(remote.Answer.Findings).To(Equal(manifest.Check(manifest.Defaults(bad))))
		Expect(len(remote.Answer.Findings)).To(BeNumerically(">=", 3))
		for _, finding := range remote.Answer.Findings {
			Expect(err).To(MatchError(ContainSubstring(finding.String())))
		}
		Expect(backend.base).To(BeZero())
	})

	DescribeTable("reports the reason of a failed publication",
		func(ctx SpecContext, cause error, status int, reason string) {
			backend.err = fmt.Errorf("the cause: %w", cause)
			_, err := publish(ctx, validManifest())
			remote := expectRefused(err, status, reason)
			Expect(remote.Answer.Message).To(Equal(backend.err.Error()))
		},
		Entry("another operator made a concurrent change", control.ErrConflict, http.StatusConflict, "Conflict"),
		Entry("the object is not found", control.ErrNotFound, http.StatusNotFound, "NotFound"),
		Entry("the manifest can't follow the version in force", manifest.Findings{{Place: "Limits"}}, http.StatusUnprocessableEntity, "InvalidManifest"),
		Entry("the store is unavailable", table.ErrUnavailable, http.StatusServiceUnavailable, "StoreUnavailable"),
		Entry("the answer of the store was lost", table.ErrOutcomeUnknown, http.StatusServiceUnavailable, "OutcomeUnknown"),
		Entry("the backend fails with any other error", errors.New("broken"), http.StatusInternalServerError, "Internal"),
	)

	It("serves zones, status and counters", func(ctx SpecContext) {
		Expect(client.Zones(ctx)).To(HaveLen(1))
		Expect(client.SetZone(ctx, "zone-a", zone.OutOfService, "operator")).To(HaveField("Name", membership.Zone("zone-a")))
		Expect(client.Status(ctx)).To(HaveField("ID", membership.InstanceID("entry-1")))
		counters.Add("Manifest.InForce", 2)
		Expect(client.Counters(ctx)).To(HaveKeyWithValue("Manifest.InForce", int64(2)))
	})

	It("refuses to explain an unknown kind or an unknown id", func(ctx SpecContext) {
		Expect(client.Explain(ctx, control.Job, "j/1")).To(HaveField("ID", "j/1"))
		_, err := client.Explain(ctx, "worker", "w")
		expectRefused(err, http.StatusBadRequest, "Invalid")
		backend.err = control.ErrNotFound
		_, err = client.Explain(ctx, control.Job, "j")
		expectRefused(err, http.StatusNotFound, "NotFound")
	})

	It("refuses a wait above the maximum", func(ctx SpecContext) {
		_, err := client.Publish(ctx, validManifest(), 6, "operator", time.Hour)
		expectRefused(err, http.StatusBadRequest, "Invalid")
	})
})
