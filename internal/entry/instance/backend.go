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

// publishPoll is the time between looks at who reports a published version.
const publishPoll = 50 * time.Millisecond

// backend is the operator API's view of the instance.
type backend struct {
	*Instance
}

// Manifest returns the manifest in force.
func (b backend) Manifest() manifest.Published {
	return b.config.Current()
}

// Publish accepts a manifest and waits until every entry instance reports it.
func (b backend) Publish(ctx context.Context, m manifest.Manifest, base manifest.Version, by string, wait time.Duration) (control.PublishAnswer, error) {
	published, err := b.repository.Publish(ctx, m, base, by)
	if errors.Is(err, configuration.ErrSuperseded) {
		return control.PublishAnswer{}, fmt.Errorf("%w: %w", control.ErrConflict, err)
	}
	if err != nil {
		return control.PublishAnswer{}, err
	}
	b.offer(published)
	b.kickHeartbeats()
	deadline := b.clock.Now().Add(wait)
	for {
		answer := b.inForce(published.Version)
		if len(answer.Missing) == 0 || !b.clock.Now().Before(deadline) {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return answer, nil
		case <-b.clock.After(publishPoll):
		}
	}
}

// inForce lists who reports a version. Expected are the entry instances of the
// membership list and the peers that were heard lately.
func (b backend) inForce(version manifest.Version) control.PublishAnswer {
	answer := control.PublishAnswer{Version: version}
	expected := map[membership.InstanceID]bool{b.settings.ID: b.config.Current().Version >= version}
	for _, instance := range b.members.Snapshot().Instances {
		if instance.Kind == membership.Entry && instance.ID != b.settings.ID {
			expected[instance.ID] = false
		}
	}
	now := b.clock.Now()
	for _, peer := range b.peers.List() {
		if _, listed := expected[peer.Instance.ID]; listed || now.Sub(peer.Heard) < staleReport {
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

// Zones returns the availability zones with their status in the table.
func (b backend) Zones(ctx context.Context) ([]control.ZoneAnswer, error) {
	m := b.config.Current().Manifest
	names := make([]membership.Zone, len(m.Zones))
	for i, z := range m.Zones {
		names[i] = z.Name
	}
	statuses, err := b.zoneRows.List(ctx, names)
	if err != nil {
		return nil, err
	}
	answers := make([]control.ZoneAnswer, len(names))
	for i, z := range m.Zones {
		answers[i] = control.ZoneAnswer{Name: z.Name, Region: z.Region, Status: statuses[i]}
	}
	return answers, nil
}

// SetZone takes a zone out of service or brings it back.
func (b backend) SetZone(ctx context.Context, name membership.Zone, to zone.Service, by string) (control.ZoneAnswer, error) {
	for _, z := range b.config.Current().Manifest.Zones {
		if z.Name != name {
			continue
		}
		status, err := b.zoneRows.Set(ctx, name, to, by)
		if errors.Is(err, zone.ErrRace) || errors.Is(err, zone.ErrUnchanged) {
			return control.ZoneAnswer{}, fmt.Errorf("%w: %w", control.ErrConflict, err)
		}
		if err != nil {
			return control.ZoneAnswer{}, err
		}
		b.counters.Add("Zone."+string(to), 1)
		b.log.Info().Str("Zone", string(name)).Str("Service", string(to)).Str("Change", status.Change).Msg("availability zone changed")
		return control.ZoneAnswer{Name: name, Region: z.Region, Status: status}, nil
	}
	return control.ZoneAnswer{}, fmt.Errorf("%w: the manifest in force has no availability zone %q", control.ErrNotFound, name)
}

// Status describes the instance.
func (b backend) Status(ctx context.Context) control.StatusAnswer {
	answer := control.StatusAnswer{
		ID: b.settings.ID, Zone: b.settings.Zone, Region: b.settings.Region,
		Manifest: b.config.Current().Version,
	}
	if err := b.readiness(); err != nil {
		answer.NotReady = err.Error()
	}
	answer.Ready = answer.NotReady == ""
	_, answer.MembershipAge, _ = b.members.view.Latest()
	answer.Shards = b.shardStatuses(ctx)
	now := b.clock.Now()
	for _, peer := range b.peers.List() {
		status := control.PeerStatus{
			ID: peer.Instance.ID, Zone: peer.Instance.Zone, Manifest: peer.Manifest, Silent: now.Sub(peer.Heard),
		}
		for _, report := range peer.Shards {
			status.Shards = append(status.Shards, report.Shard.String())
		}
		answer.Peers = append(answer.Peers, status)
	}
	return answer
}

// ExplainRequest asks a peer what it knows of a task, job or request.
type ExplainRequest struct {
	Kind control.Kind
	ID   string
}

// Explain merges what this instance and its peers know.
func (b backend) Explain(ctx context.Context, kind control.Kind, id string) (control.ExplainAnswer, error) {
	answer := b.explainLocal(ctx, ExplainRequest{kind, id})
	for _, peer := range b.peers.List() {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		other, err := entry.Call[ExplainRequest, control.ExplainAnswer](callCtx, b.client, peer.Instance.Address, heartbeat.MethodExplain, ExplainRequest{kind, id})
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

// explainLocal tells what this instance knows.
func (i *Instance) explainLocal(ctx context.Context, request ExplainRequest) control.ExplainAnswer {
	answer := control.ExplainAnswer{Kind: request.Kind, ID: request.ID}
	answer.Events = i.explanations.Find(request.Kind, request.ID)
	for _, running := range i.runningShards() {
		running.Inspect(ctx, func(engine *placement.Engine) {
			if state, ok := explainIn(engine, i.clock.Now(), request); ok {
				answer.State = state
			}
		})
	}
	return answer
}

func explainIn(engine *placement.Engine, now time.Time, request ExplainRequest) (string, bool) {
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

// recorder keeps placement decisions for Explain.
type recorder struct {
	*Instance
}

// RecordDecision keeps a decision under its task and its job.
func (r recorder) RecordDecision(at time.Time, d placement.Decision) {
	event := control.Event{
		At: at.UTC(), Instance: r.settings.ID, What: string(d.Kind), Reason: string(d.Reason),
		Manifest: d.Manifest, Facts: struct {
			Worker membership.InstanceID
			placement.Facts
		}{d.Worker, d.Facts},
	}
	if d.Task != "" {
		r.explanations.Add(control.Task, string(d.Task), event)
	}
	if d.Job != "" {
		event.What += " " + string(d.Task)
		r.explanations.Add(control.Job, string(d.Job), event)
	}
}

// jobsHandler returns the handler of batch jobs.
func (i *Instance) jobsHandler() *job.Handler {
	return &job.Handler{
		Repository: job.Repository{
			Store: i.store, Clock: i.clock,
			Objects: object.Client{Address: i.settings.Platform, HTTP: i.platform},
		},
		Destinations:  i.destinations(),
		Configuration: &i.config,
		Membership:    i.members,
		Counters:      i.counters,
		Clock:         i.clock,
	}
}
