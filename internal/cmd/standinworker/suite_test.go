package standinworker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/standinworker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/httpserver"
)

func TestStandinWorker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stand-in worker command")
}

func newFactory(out io.Writer) *factory.Factory {
	return &factory.Factory{IO: factory.IOStreams{Out: out, ErrOut: GinkgoWriter}, Clock: clockwork.NewRealClock()}
}

var _ = Describe("standin worker", func() {
	It("reports all missing flags at once", func() {
		cmd := standinworker.NewCmd(newFactory(&bytes.Buffer{}), nil)
		cmd.SetArgs([]string{})
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		Expect(cmd.Execute()).To(MatchError(And(ContainSubstring("--id"), ContainSubstring("--zone"))))
	})

	It("prints its address, announces itself and serves syncs until it is stopped", func(ctx SpecContext) {
		announced := make(chan membership.Instance, 16)
		platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var instance membership.Instance
			_ = json.NewDecoder(r.Body).Decode(&instance)
			announced <- instance
		}))
		DeferCleanup(platform.Close)
		output, out := io.Pipe()
		cmd := standinworker.NewCmd(newFactory(out), nil)
		cmd.SetArgs([]string{"--id", "w1", "--zone", "hakata", "--platform", strings.TrimPrefix(platform.URL, "http://")})
		runCtx, stop := context.WithCancel(ctx)
		var group errgroup.Group
		group.Go(func() error { return cmd.ExecuteContext(runCtx) })
		var ready httpserver.Ready
		Expect(json.NewDecoder(output).Decode(&ready)).To(Succeed())
		var instance membership.Instance
		Eventually(ctx, announced).Should(Receive(&instance))
		Expect(instance.Address).To(Equal(ready.Address))
		Expect(instance.State).To(Equal(membership.Live))
		answer, err := new(protocol.Client).Sync(ctx, ready.Address, protocol.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Incarnation).NotTo(BeEmpty())
		stop()
		Expect(group.Wait()).To(Succeed())
	})
})
