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

// registerMethods adds the methods that peers call.
func (i *Instance) registerMethods() {
	entry.Handle(i.server, heartbeat.Method, i.receiveHeartbeat)
	entry.Handle(i.server, heartbeat.MethodManifest, func(context.Context, ManifestRequest) (manifest.Published, error) {
		return i.config.Current(), nil
	})
	entry.Handle(i.server, heartbeat.MethodExplain, func(ctx context.Context, request ExplainRequest) (control.ExplainAnswer, error) {
		return i.explainLocal(ctx, request), nil
	})
	i.slots.registerMethods()
}

// kickHeartbeats sends the next heartbeats at once.
func (i *Instance) kickHeartbeats() {
	select {
	case i.kick <- struct{}{}:
	default:
	}
}

// beat sends heartbeats to all peers until ctx ends.
func (i *Instance) beat(ctx context.Context) {
	ticker := i.clock.NewTicker(heartbeat.Interval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		message := i.heartbeat()
		for _, target := range i.heartbeatTargets() {
			group.Go(func() { i.sendHeartbeat(ctx, target.address, i.messageTo(target, message)) })
		}
		i.peers.Forget(i.clock.Now().Add(-forgetPeer))
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-i.kick:
		}
	}
}

// heartbeatTarget is a peer that gets heartbeats. Its zone is empty if it is not known.
type heartbeatTarget struct {
	address string
	zone    membership.Zone
}

// messageTo returns the heartbeat for a target. The part about ownership has an entry
// for each member of the zone, and other zones don't use it.
func (i *Instance) messageTo(target heartbeatTarget, message heartbeat.Heartbeat) heartbeat.Heartbeat {
	if target.zone != "" && target.zone != i.settings.Zone {
		message.Ownership = ownership.Heartbeat{}
	}
	return message
}

// heartbeatTargets returns the peers of the membership list, of earlier heartbeats
// and of the settings.
func (i *Instance) heartbeatTargets() []heartbeatTarget {
	seen := map[string]bool{i.Addresses().Peer: true, i.self().Address: true}
	var targets []heartbeatTarget
	add := func(address string, zone membership.Zone) {
		if address != "" && !seen[address] {
			seen[address] = true
			targets = append(targets, heartbeatTarget{address, zone})
		}
	}
	for _, instance := range i.members.Snapshot().Instances {
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

func (i *Instance) heartbeat() heartbeat.Heartbeat {
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
	answer, err := entry.Call[heartbeat.Heartbeat, heartbeat.Answer](ctx, i.client, address, heartbeat.Method, message)
	if err != nil {
		i.counters.Add("Heartbeat.Failed", 1)
		return
	}
	i.peers.Answered(i.clock.Now(), answer)
	i.ownershipAnswered(sent, answer.Ownership)
}

func (i *Instance) receiveHeartbeat(_ context.Context, message heartbeat.Heartbeat) (heartbeat.Answer, error) {
	if message.From.ID == "" || message.From.Kind != membership.Entry {
		i.counters.Add("Heartbeat.Malformed", 1)
		return heartbeat.Answer{}, entry.Errorf(entry.CodeInvalidParams, "a heartbeat must come from an entry instance with an id")
	}
	now := i.clock.Now()
	i.peers.Received(now, message)
	return heartbeat.Answer{
		From:      i.settings.ID,
		Manifest:  i.config.Current().Version,
		Ownership: i.receiveOwnership(now, message),
	}, nil
}
