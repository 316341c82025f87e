package instance

import (
	"context"
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/ownership"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/heartbeat"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// registerMethods registers the methods that peers call.
func (i *Instance) registerMethods() {
	entry.Handle(i.peerServer, heartbeat.MethodHeartbeat, i.handleHeartbeat)
	entry.Handle(i.peerServer, heartbeat.MethodManifest, func(context.Context, ManifestRequest) (manifest.Published, error) {
		return i.config.Current(), nil
	})
	entry.Handle(i.peerServer, heartbeat.MethodExplain, func(ctx context.Context, request ExplainRequest) (control.ExplainAnswer, error) {
		return i.explainLocal(ctx, request), nil
	})
	i.slotManager.registerMethods()
}

// triggerHeartbeats makes runHeartbeats send the next heartbeats at once. It doesn't
// block.
func (i *Instance) triggerHeartbeats() {
	select {
	case i.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// runHeartbeats sends heartbeats to all peers until ctx ends.
func (i *Instance) runHeartbeats(ctx context.Context) {
	ticker := i.clock.NewTicker(heartbeat.Interval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		message := i.newHeartbeat()
		for _, target := range i.heartbeatTargets() {
			group.Go(func() { i.sendHeartbeat(ctx, target.address, i.messageFor(target, message)) })
		}
		i.peers.RemoveSilent(i.clock.Now().Add(-peerExpiry))
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-i.heartbeatTrigger:
		}
	}
}

// heartbeatTarget is a peer to send heartbeats to. Its zone is empty if unknown.
type heartbeatTarget struct {
	address string
	zone    membership.Zone
}

// messageFor returns the heartbeat for a target. Targets in other zones get no ownership
// part: they don't use it, and it grows with the number of members in the zone.
func (i *Instance) messageFor(target heartbeatTarget, message heartbeat.Heartbeat) heartbeat.Heartbeat {
	if target.zone != "" && target.zone != i.settings.Zone {
		message.Ownership = ownership.Heartbeat{}
	}
	return message
}

// heartbeatTargets returns the peers from the membership list, from the heartbeats
// received and from the settings, without duplicates and without this instance.
func (i *Instance) heartbeatTargets() []heartbeatTarget {
	seen := map[string]bool{i.Addresses().Peer: true, i.self().Address: true}
	var targets []heartbeatTarget
	add := func(address string, zone membership.Zone) {
		if address != "" && !seen[address] {
			seen[address] = true
			targets = append(targets, heartbeatTarget{address, zone})
		}
	}
	for _, instance := range i.membership.Snapshot().Instances {
		if instance.Kind == membership.Entry {
			add(instance.Address, instance.Zone)
		}
	}
	for _, peer := range i.peers.List() {
		add(peer.Instance.Address, peer.Instance.Zone)
	}
	for _, address := range i.settings.Peers {
		add(address, "")
	}
	return targets
}

func (i *Instance) newHeartbeat() heartbeat.Heartbeat {
	return heartbeat.Heartbeat{
		From:      i.self(),
		Manifest:  i.config.Current().Version,
		Shards:    i.shardReports(),
		Ownership: i.ownershipHeartbeat(),
		Leaving:   i.draining.Load(),
	}
}

func (i *Instance) sendHeartbeat(ctx context.Context, address string, message heartbeat.Heartbeat) {
	sent := i.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := entry.Call[heartbeat.Heartbeat, heartbeat.Answer](ctx, i.peerClient, address, heartbeat.MethodHeartbeat, message)
	if err != nil {
		i.counters.Add("Heartbeat.Failed", 1)
		return
	}
	i.peers.RecordAnswer(i.clock.Now(), answer)
	i.handleOwnershipAnswer(sent, answer.Ownership)
}

func (i *Instance) handleHeartbeat(_ context.Context, message heartbeat.Heartbeat) (heartbeat.Answer, error) {
	if message.From.ID == "" || message.From.Kind != membership.Entry {
		i.counters.Add("Heartbeat.Malformed", 1)
		return heartbeat.Answer{}, entry.Errorf(entry.CodeInvalidParams, "the sender of a heartbeat must be an entry instance with an id")
	}
	now := i.clock.Now()
	i.peers.RecordHeartbeat(now, message)
	return heartbeat.Answer{
		From:      i.settings.ID,
		Manifest:  i.config.Current().Version,
		Ownership: i.handleOwnershipHeartbeat(now, message),
	}, nil
}
