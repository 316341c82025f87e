// Package instance assembles an entry instance: the servers for callers, peers and
// operators, the shards that it owns, and the background loops that poll the platform and
// exchange heartbeats with peers.
package instance

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Settings are the settings of an entry instance.
type Settings struct {
	ID     membership.InstanceID
	Zone   membership.Zone
	Region membership.Region
	// CallerAddress, PeerAddress and OperatorAddress are the addresses to listen on, each an
	// IP number and a port. Port 0 selects a free port.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// PeerAnnounceAddress is the address under which other entry instances reach this one, for
	// example that of a forwarding proxy. If it is empty, they use the peer address.
	PeerAnnounceAddress string
	// Platform is the address of the platform services.
	Platform string
	// Peers are the peer addresses of other entry instances. They are used in addition to
	// the membership list, so that the instance finds its peers when the platform can't be
	// reached.
	Peers []string
	// Memory is the memory that the process may use, Descriptors the number of its file
	// descriptors; 0 selects the defaults.
	Memory      resource.Bytes
	Descriptors int
	// UnreadyDelay is how long a draining instance keeps serving new requests after it
	// becomes unready. It must exceed the time that the load balancer takes to notice.
	UnreadyDelay time.Duration
	// DrainTimeout limits a planned stop, including the wait for requests and feeds in
	// flight. If it is 0, the longest request or feed that the manifest in force allows
	// determines the limit.
	DrainTimeout time.Duration
}

// DefaultMemory is enough for thousands of callers and for requests of usual size.
const DefaultMemory resource.Bytes = 512 << 20

// machine returns what the machine allows the process.
func (s Settings) machine() intake.Machine {
	return intake.Machine{
		Memory:      intake.Bytes(cmp.Or(s.Memory, DefaultMemory)),
		Descriptors: cmp.Or(s.Descriptors, intake.MaxDescriptors()),
	}
}

// DefaultUnreadyDelay covers a load balancer that checks health every second and misses one
// check.
const DefaultUnreadyDelay = 3 * time.Second

// Check reports every problem with the settings, under the name of the flag concerned.
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
	if s.PeerAnnounceAddress != "" {
		if err := checkAddress(s.PeerAnnounceAddress); err != nil {
			report("announce-peer-address", err.Error(), "give an IP number and a port, or nothing for the peer address")
		}
	}
	for _, address := range s.Peers {
		if err := checkAddress(address); err != nil {
			report("peers", err.Error(), "give IP numbers with ports, separated by commas")
		}
	}
	if s.Memory < 0 {
		report("memory-mb", "it is negative", "give the memory of the process in MB, or 0 for the default")
	}
	if s.Descriptors < 0 {
		report("file-descriptors", "it is negative", "give the number of descriptors, or 0 for what the system allows")
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
