// Package instance assembles an entry instance: the addresses that callers, peers
// and operators use, the shards that it owns and the loops that keep it informed.
package instance

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Settings of an entry instance.
type Settings struct {
	ID     membership.InstanceID
	Zone   membership.Zone
	Region membership.Region
	// CallerAddress, PeerAddress and OperatorAddress are where the instance listens:
	// IP number and port; port 0 takes a free one.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// PeerAnnounce is the address that other entry instances are told to use, for
	// example that of a forwarder; empty stands for where the instance listens.
	PeerAnnounce string
	// Platform is the address of the platform's services.
	Platform string
	// Peers are addresses of other entry instances to ask when the platform can't be reached.
	Peers []string
	// UnreadyDelay is the time for which a stopping instance goes on serving new
	// requests after it became unready. It must exceed the time that the balancer
	// takes to notice.
	UnreadyDelay time.Duration
	// DrainTimeout bounds a planned stop, with the wait for requests and feeds in
	// flight; 0 stands for the longest that the manifest in force allows.
	DrainTimeout time.Duration
}

// DefaultUnreadyDelay lets a balancer that looks every second miss a look.
const DefaultUnreadyDelay = 3 * time.Second

// Check reports everything that is wrong with the settings, each with the name of
// its flag.
func (s Settings) Check(report func(flag, problem, fix string)) {
	if s.ID == "" {
		report("id", "it is empty", "give the instance's id; a replacement needs a new one")
	}
	if s.Zone == "" {
		report("zone", "it is empty", "give the instance's availability zone")
	}
	if s.Region == "" {
		report("region", "it is empty", "give the instance's region")
	}
	for flag, address := range map[string]string{
		"caller-address":   s.CallerAddress,
		"peer-address":     s.PeerAddress,
		"operator-address": s.OperatorAddress,
		"platform":         s.Platform,
	} {
		if err := checkAddress(address); err != nil {
			report(flag, err.Error(), "give an IP number and a port, such as 127.0.0.1:7401")
		}
	}
	if s.PeerAnnounce != "" {
		if err := checkAddress(s.PeerAnnounce); err != nil {
			report("announce-peer-address", err.Error(), "give an IP number and a port, or nothing for the peer address")
		}
	}
	for _, address := range s.Peers {
		if err := checkAddress(address); err != nil {
			report("peers", err.Error(), "give IP numbers with ports, separated by commas")
		}
	}
	if s.UnreadyDelay < 0 {
		report("unready-delay", "it is negative", "give a duration such as 3s")
	}
	if s.DrainTimeout < 0 {
		report("drain-timeout", "it is negative", "give a duration such as 10m, or 0s for the longest that the manifest allows")
	}
	if s.DrainTimeout > 0 && s.DrainTimeout <= s.UnreadyDelay {
		report("drain-timeout", "it ends before requests are refused", "give a duration longer than --unready-delay")
	}
}

func checkAddress(address string) error {
	if address == "" {
		return errors.New("it is empty")
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%q is not an IP number with a port", address)
	}
	return nil
}
