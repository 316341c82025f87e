package instance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/configuration"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/heartbeat"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// publishPollInterval is the time between checks of which instances report a published
// version.
const publishPollInterval = 50 * time.Millisecond

// operatorBackend adapts an Instance to control.Backend, which the operator API uses.
type operatorBackend struct {
	*Instance
}

// Manifest returns the manifest in force.
func (b operatorBackend) Manifest() manifest.Published {
	return b.config.Current()
}

// Publish stores a manifest as the version after base and waits until every entry
// instance reports it, at most for the given time.
func (b operatorBackend) Publish(ctx context.Context, m manifest.Manifest, base manifest.Version, author string, wait time.Duration) (control.PublishAnswer, error) {
	published, err := b.manifestRepository.Publish(ctx, m, base, author)
	if errors.Is(err, configuration.ErrSuperseded) {
		return control.PublishAnswer{}, fmt.Errorf("%w: %w", control.ErrConflict, err)
	}
	if err != nil {
		return control.PublishAnswer{}, err
	}
	b.applyManifest(published)
	b.triggerHeartbeats()
	deadline := b.clock.Now().Add(wait)
	for {
		answer := b.publishProgress(published.Version)
		if len(answer.Missing) == 0 || !b.clock.Now().Before(deadline) {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return answer, nil
		case <-b.clock.After(publishPollInterval):
		}
	}
}

// publishProgress returns which entry instances report at least the given version. It
// covers the instances in the membership list and the peers with a recent heartbeat.
func (b operatorBackend) publishProgress(version manifest.Version) control.PublishAnswer {
	answer := control.PublishAnswer{Version: version}
	expected := map[membership.InstanceID]bool{b.settings.ID: b.config.Current().Version >= version}
	for _, instance := range b.membership.Snapshot().Instances {
		if instance.Kind == membership.Entry && instance.ID != b.settings.ID {
			expected[instance.ID] = false
		}
	}
	now := b.clock.Now()
	for _, peer := range b.peers.List() {
		if _, listed := expected[peer.Instance.ID]; listed || now.Sub(peer.LastHeard) < maxReportAge {
			expected[peer.Instance.ID] = peer.Manifest >= version
		}
	}
	for id, reported := range expected {
		if reported {
			answer.InForce = append(answer.InForce, id)
		} else {
			answer.Missing = append(answer.Missing, id)
		}
	}
	return answer
}

// Zones returns the availability zones of the manifest with their status in the table.
func (b operatorBackend) Zones(ctx context.Context) ([]control.ZoneAnswer, error) {
	m := b.config.Current().Manifest
	names := make([]membership.Zone, len(m.Zones))
	for i, z := range m.Zones {
		names[i] = z.Name
	}
	statuses, err := b.zoneRepository.List(ctx, names)
	if err != nil {
		return nil, err
	}
	answers := make([]control.ZoneAnswer, len(names))
	for i, z := range m.Zones {
		answers[i] = control.ZoneAnswer{Name: z.Name, Region: z.Region, Status: statuses[i]}
	}
	return answers, nil
}

// SetZone takes a zone out of service or returns it to service.
func (b operatorBackend) SetZone(ctx context.Context, name membership.Zone, to zone.Service, author string) (control.ZoneAnswer, error) {
	for _, z := range b.config.Current().Manifest.Zones {
		if z.Name != name {
			continue
		}
		status, err := b.zoneRepository.Set(ctx, name, to, author)
		if errors.Is(err, zone.ErrConflict) || errors.Is(err, zone.ErrUnchanged) {
			return control.ZoneAnswer{}, fmt.Errorf("%w: %w", control.ErrConflict, err)
		}
		if err != nil {
			return control.ZoneAnswer{}, err
		}
		b.counters.Add("Zone."+string(to), 1)
		b.log.Info().Str("Zone", string(name)).Str("Service", string(to)).Str("Change", status.Change).Msg("changed the status of an availability zone")
		return control.ZoneAnswer{Name: name, Region: z.Region, Status: status}, nil
	}
	return control.ZoneAnswer{}, fmt.Errorf("%w: the manifest in force has no availability zone %q", control.ErrNotFound, name)
}

// Status returns the status of the instance, its shards and its peers.
func (b operatorBackend) Status(ctx context.Context) control.StatusAnswer {
	answer := control.StatusAnswer{
		ID: b.settings.ID, Zone: b.settings.Zone, Region: b.settings.Region,
		Manifest: b.config.Current().Version,
	}
	if err := b.readiness(); err != nil {
		answer.NotReady = err.Error()
	}
	answer.Ready = answer.NotReady == ""
	_, answer.MembershipAge, _ = b.membership.view.Latest()
	answer.Shards = b.shardStatuses(ctx)
	now := b.clock.Now()
	for _, peer := range b.peers.List() {
		status := control.PeerStatus{
			ID: peer.Instance.ID, Zone: peer.Instance.Zone, Manifest: peer.Manifest, Silent: now.Sub(peer.LastHeard),
		}
		for _, report := range peer.Shards {
			status.Shards = append(status.Shards, report.Shard.String())
		}
		answer.Peers = append(answer.Peers, status)
	}
	return answer
}

// ExplainRequest asks a peer for its recorded decisions about a task, job or request.
type ExplainRequest struct {
	Kind control.Kind
	ID   string
}

// Explain merges the recorded decisions of this instance and its peers.
func (b operatorBackend) Explain(ctx context.Context, kind control.Kind, id string) (control.ExplainAnswer, error) {
	answer := b.explainLocal(ctx, ExplainRequest{kind, id})
	for _, peer := range b.peers.List() {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		other, err := entry.Call[ExplainRequest, control.ExplainAnswer](callCtx, b.peerClient, peer.Instance.Address, heartbeat.MethodExplain, ExplainRequest{kind, id})
		cancel()
		if err != nil {
			b.counters.Add("Explain.PeerFailed", 1)
			continue
		}
		answer.Events = append(answer.Events, other.Events...)
		if answer.State == "" {
			answer.State = other.State
		}
	}
	if len(answer.Events) == 0 && answer.State == "" {
		return answer, fmt.Errorf("%w: %s %s", control.ErrNotFound, kind, id)
	}
	sortEvents(answer.Events)
	return answer, nil
}

// explainLocal returns the recorded decisions of this instance. The state is set if one of
// its shards has the task or job.
func (i *Instance) explainLocal(ctx context.Context, request ExplainRequest) control.ExplainAnswer {
	answer := control.ExplainAnswer{Kind: request.Kind, ID: request.ID}
	answer.Events = i.explanations.Find(request.Kind, request.ID)
	for _, running := range i.runningShards() {
		running.Inspect(ctx, func(engine *placement.Engine) {
			if state, ok := explainFromEngine(engine, i.clock.Now(), request); ok {
				answer.State = state
			}
		})
	}
	return answer
}

func explainFromEngine(engine *placement.Engine, now time.Time, request ExplainRequest) (string, bool) {
	var explanation placement.Explanation
	var ok bool
	switch request.Kind {
	case control.Task:
		explanation, ok = engine.ExplainTask(now, worker.TaskID(request.ID))
	case control.Job:
		explanation, ok = engine.ExplainJob(now, worker.JobID(request.ID))
	}
	if !ok {
		return "", false
	}
	state := string(explanation.State)
	if explanation.Waiting != "" {
		state += ", waiting for " + string(explanation.Waiting)
	}
	return state, true
}

// decisionRecorder records placement decisions and service decisions for Explain.
type decisionRecorder struct {
	*Instance
}

// RecordDecision records a placement decision for its task and its job.
func (r decisionRecorder) RecordDecision(at time.Time, decision placement.Decision) {
	event := control.Event{
		At: at.UTC(), Instance: r.settings.ID, What: string(decision.Kind), Reason: string(decision.Reason),
		Manifest: decision.Manifest, Facts: struct {
			Worker membership.InstanceID
			placement.Facts
		}{decision.Worker, decision.Facts},
	}
	if decision.Task != "" {
		r.explanations.Add(control.Task, string(decision.Task), event)
	}
	if decision.Job != "" {
		event.What += " " + string(decision.Task)
		r.explanations.Add(control.Job, string(decision.Job), event)
	}
}

// jobHandler returns the HTTP handler of batch jobs.
func (i *Instance) jobHandler() *job.Handler {
	return &job.Handler{
		Repository: job.Repository{
			Store: i.store, Clock: i.clock,
			Objects:    object.Client{Address: i.settings.Platform, HTTP: i.platformHTTP},
			Tombstones: job.NewTombstoneLimiter(),
		},
		ShardSelector: i.shardSelector(),
		Configuration: &i.config,
		Membership:    i.membership,
		Counters:      i.counters,
		Clock:         i.clock,
	}
}
