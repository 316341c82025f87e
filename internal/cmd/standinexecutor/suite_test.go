package standinexecutor_test

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

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/standinexecutor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/httpserver"
)

func TestStandinExecutor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stand-in executor command")
}

func newFactory(out io.Writer) *factory.Factory {
	return &factory.Factory{IO: factory.IOStreams{Out: out, ErrOut: GinkgoWriter}, Clock: clockwork.NewRealClock()}
}

var _ = Describe("standin executor", func() {
	It("reports all missing flags at once", func() {
		cmd := standinexecutor.NewCmd(newFactory(&bytes.Buffer{}), nil)
		cmd.SetArgs([]string{"--slots", "0"})
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		Expect(cmd.Execute()).To(MatchError(And(ContainSubstring("--id"), ContainSubstring("--service"), ContainSubstring("--slots"))))
	})

	It("announces itself, reports to its host and serves until it is stopped", func(ctx SpecContext) {
		paths := make(chan string, 16)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
		DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		output, out := io.Pipe()
		cmd := standinexecutor.NewCmd(newFactory(out), nil)
		cmd.SetArgs([]string{"--id", "e1", "--zone", "z", "--service", "s", "--platform", address, "--host-address", address})
		runCtx, stop := context.WithCancel(ctx)
		var group errgroup.Group
		group.Go(func() error { return cmd.ExecuteContext(runCtx) })
		var ready httpserver.Ready
		Expect(json.NewDecoder(output).Decode(&ready)).To(Succeed())
		Eventually(ctx, paths).Should(Receive(Equal("/membership/announce")))
		Eventually(ctx, paths).Should(Receive(Equal("/executors")))
		response, err := http.Get("http://" + ready.Address + "/rota?size=10&seed=a")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(executor.VerifyContent(response.Body, "a", 10)).To(Succeed())
		stop()
		Expect(group.Wait()).To(Succeed())
	})
})
