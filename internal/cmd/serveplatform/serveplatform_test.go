package serveplatform

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

func TestServePlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ServePlatform")
}

func testFactory(environment map[string]string) *factory.Factory {
	return &factory.Factory{
		IO:    factory.IOStreams{In: strings.NewReader(""), Out: &bytes.Buffer{}, ErrOut: &bytes.Buffer{}},
		Clock: clockwork.NewRealClock(),
		LookupEnv: func(name string) (string, bool) {
			value, ok := environment[name]
			return value, ok
		},
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

// writeSettings writes a settings file whose addresses are free, with the given address
// for readiness checks.
func writeSettings(path, ready string) {
	GinkgoHelper()
	content := fmt.Sprintf("nodeName = \"n1\"\nzone = \"z\"\nseeds = []\n[listen]\nfrontend = %q\nready = %q\ncontrol = %q\n"+
		"[bounds]\nholdMaxMs = 6000\ngraceS = 1\n[platform]\naddress = %q\nform = \"table\"\n",
		freeAddress(), ready, freeAddress(), freeAddress())
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
}

var _ = Describe("serve-platform", func() {
	It("reads its settings from flags and the environment", func() {
		var got *Options
		cmd := NewCmd(testFactory(map[string]string{"JACINTHTRAIL_CONFIG": "/x.toml"}), func(_ context.Context, o *Options) error {
			got = o
			return nil
		})
		cmd.SetArgs([]string{"--lease-term", "3s"})
		Expect(cmd.Execute()).To(Succeed())
		Expect(got.Config).To(Equal("/x.toml"))
		Expect(got.LeaseTerm).To(Equal(3 * time.Second))
	})

	It("reports all invalid settings at once", func() {
		cmd := NewCmd(testFactory(nil), func(context.Context, *Options) error { return nil })
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		cmd.SetArgs([]string{"--log-level", "loud", "--lease-term", "1ms"})
		Expect(cmd.Execute()).To(MatchError(And(
			ContainSubstring("--config"), ContainSubstring("--log-level"), ContainSubstring("--lease-term"))))
	})

	It("disables parts of the scheduling policy by their names", func() {
		var got *Options
		cmd := NewCmd(testFactory(map[string]string{"JACINTHTRAIL_DISABLE": "Holds,Preemption"}), func(_ context.Context, o *Options) error {
			got = o
			return nil
		})
		cmd.SetArgs([]string{"--config", "/x.toml"})
		Expect(cmd.Execute()).To(Succeed())
		Expect(got.Disabled).To(Equal(mechanism.Of(mechanism.Holds, mechanism.Preemption).Union(mechanism.OffByDefault())))
	})

	It("enables parts of the scheduling policy that are off by default", func() {
		var got *Options
		cmd := NewCmd(testFactory(map[string]string{"JACINTHTRAIL_ENABLE": "LargeGaps"}), func(_ context.Context, o *Options) error {
			got = o
			return nil
		})
		cmd.SetArgs([]string{"--config", "/x.toml"})
		Expect(cmd.Execute()).To(Succeed())
		Expect(got.Disabled.Has(mechanism.LargeGaps)).To(BeFalse())
	})

	It("lists the parts of the scheduling policy if one to disable isn't known", func() {
		cmd := NewCmd(testFactory(nil), func(context.Context, *Options) error { return nil })
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		cmd.SetArgs([]string{"--config", "/x.toml", "--disable", "Hold"})
		Expect(cmd.Execute()).To(MatchError(And(
			ContainSubstring("--disable"), ContainSubstring(`"Hold"`), ContainSubstring("Holds"))))
	})

	// Without a handler, SIGHUP would end the process.
	It("keeps running after SIGHUP and without a store, and stops when its context ends", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		ready := freeAddress()
		writeSettings(path, ready)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var group errgroup.Group
		cmd := NewCmd(testFactory(map[string]string{"JACINTHTRAIL_CONFIG": path}), nil)
		cmd.SetArgs(nil)
		group.Go(func() error { return cmd.ExecuteContext(ctx) })
		status := func() int {
			response, err := http.Get("http://" + ready)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		}
		Eventually(status, 5*time.Second).Should(Equal(http.StatusServiceUnavailable))
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Consistently(status, 300*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
		cancel()
		Expect(group.Wait()).To(Succeed())
	})
})
