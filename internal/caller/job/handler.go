package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Limits of job requests.
const (
	// MaxKeyBytes is the maximum length of a caller key in bytes.
	MaxKeyBytes = 128
	// MaxWait is the longest time that a GET request waits for a job to end.
	MaxWait = 60 * time.Second
	// maxSubmissionOverhead bounds the bytes of a submission besides its payload.
	maxSubmissionOverhead = 4 << 10
	// decodingFactor is the memory that decoding needs for each byte of a submission: the
	// decoder and the job have copies of the payload.
	decodingFactor = 2
	// storeTimeout bounds the table accesses of a request.
	storeTimeout = 5 * time.Second
	// pollInterval is the time between reads of a job while a caller waits for its end.
	pollInterval = 250 * time.Millisecond
	// retryAfter is the delay before a retry that answers suggest while the table is
	// unavailable or no zone is in service.
	retryAfter = 2 * time.Second
)

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ShardSelector selects the shard of a new job.
type ShardSelector interface {
	// SelectShard returns a shard in a zone that is in service.
	SelectShard(now time.Time) (worker.ShardID, bool)
}

// Configuration provides the manifest in force.
type Configuration interface {
	Current() manifest.Published
}

// Membership provides the cached list of instances.
type Membership interface {
	Snapshot() membership.Snapshot
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Handler serves /jobs/<team>/<key>: PUT submits, GET looks up and DELETE cancels.
type Handler struct {
	Repository    Repository
	ShardSelector ShardSelector
	Configuration Configuration
	Membership    Membership
	Counters      Counters
	Clock         clockwork.Clock
}

// Answer describes a job to its caller.
type Answer struct {
	ID        worker.JobID
	Team      manifest.TeamName
	Key       CallerKey
	State     State
	Reason    string `json:",omitempty"`
	Tasks     int
	Done      int
	Submitted time.Time
	// Results is empty until the job has ended.
	Results []TaskResult `json:",omitempty"`
}

// Finding describes one fault of a request and how to fix it.
type Finding struct {
	Place   string
	Problem string
	Fix     string
}

// Refusal is the body of an answer that refuses a request.
type Refusal struct {
	Outcome    string
	Reason     string
	Findings   []Finding     `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
}

// Register adds the routes of the handler to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("PUT /jobs/{team}/{key}", h.submit)
	mux.HandleFunc("GET /jobs/{team}/{key}", h.find)
	mux.HandleFunc("DELETE /jobs/{team}/{key}", h.cancel)
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	current := h.Configuration.Current()
	spec, findings, err := decodeSpec(w, r, current.Manifest.Limits)
	if err != nil {
		h.writeRefusal(w, http.StatusServiceUnavailable, Refusal{Outcome: "NotRun", Reason: "RequestMemory", RetryAfter: intake.RetryAfter})
		return
	}
	team, key := manifest.TeamName(r.PathValue("team")), CallerKey(r.PathValue("key"))
	findings = append(findings, h.checkSubmission(current.Manifest, team, key, spec)...)
	if len(findings) > 0 {
		h.writeRefusal(w, http.StatusBadRequest, Refusal{Outcome: "NotRun", Reason: "Invalid", Findings: findings})
		return
	}
	now := h.Clock.Now()
	shard, ok := h.ShardSelector.SelectShard(now)
	if !ok {
		h.writeRefusal(w, http.StatusServiceUnavailable, Refusal{Outcome: "NotRun", Reason: "NoZoneInService", RetryAfter: retryAfter})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	record, created, err := h.Repository.Submit(ctx, Record{
		ID: NewID(team, key), Team: team, Key: key, Spec: spec, State: Queued,
		Submitted: now.UTC(), Manifest: current.Version,
	}, shard)
	if err != nil {
		h.writeRepositoryError(w, err)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
		h.Counters.Add("Job.Submitted", 1)
	} else {
		h.Counters.Add("Job.KnownKey", 1)
	}
	writeJSON(w, status, newAnswer(record))
}

func (h *Handler) find(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r.URL.Query().Get("wait"))
	if err != nil {
		h.writeRefusal(w, http.StatusBadRequest, Refusal{Outcome: "NotRun", Reason: "Invalid", Findings: []Finding{{
			Place: "Query.wait", Problem: err.Error(), Fix: fmt.Sprintf("give a duration up to %s, such as 10s", MaxWait),
		}}})
		return
	}
	deadline := h.Clock.Now().Add(wait)
	for {
		record, err := h.lookUp(r)
		if err != nil {
			h.writeRepositoryError(w, err)
			return
		}
		if record.State.IsFinal() || record.State == Parked || !h.Clock.Now().Before(deadline) {
			h.writeRecord(w, r, record)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-h.Clock.After(pollInterval):
		}
	}
}

func (h *Handler) lookUp(r *http.Request) (Record, error) {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	return h.Repository.Find(ctx, manifest.TeamName(r.PathValue("team")), CallerKey(r.PathValue("key")))
}

func (h *Handler) writeRecord(w http.ResponseWriter, r *http.Request, record Record) {
	body := newAnswer(record)
	if record.State.IsFinal() {
		ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
		defer cancel()
		results, err := h.Repository.Results(ctx, record.ID)
		if err != nil {
			h.writeRepositoryError(w, err)
			return
		}
		body.Results = results
	}
	writeJSON(w, http.StatusOK, body)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	err := h.Repository.Cancel(ctx, manifest.TeamName(r.PathValue("team")), CallerKey(r.PathValue("key")))
	if err != nil {
		h.writeRepositoryError(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// checkSubmission returns all faults of a submission.
func (h *Handler) checkSubmission(m manifest.Manifest, team manifest.TeamName, key CallerKey, spec Spec) []Finding {
	var findings []Finding
	add := func(place, problem, fix string) {
		findings = append(findings, Finding{Place: place, Problem: problem, Fix: fix})
	}
	if len(key) > MaxKeyBytes || !keyPattern.MatchString(string(key)) {
		add("Path.key", fmt.Sprintf("%q is not a valid key", key),
			fmt.Sprintf("use up to %d letters, digits, dots, dashes or underscores", MaxKeyBytes))
	}
	if !hasTeam(m, team) {
		add("Path.team", fmt.Sprintf("the manifest has no team %q", team), "use a team of the manifest in force")
	}
	if spec.Priority != Normal && spec.Priority != Urgent {
		add("Priority", fmt.Sprintf("%q is not a priority", spec.Priority), "use Normal or Urgent")
	}
	if spec.Tasks < 1 || m.Limits.MaxTasksPerJob > 0 && spec.Tasks > m.Limits.MaxTasksPerJob {
		add("Tasks", fmt.Sprintf("%d tasks", spec.Tasks), fmt.Sprintf("ask for 1 to %d tasks", m.Limits.MaxTasksPerJob))
	}
	class, ok := findClass(m, spec.Class)
	if !ok {
		add("Class", fmt.Sprintf("the manifest has no class %q", spec.Class), "use a class of the manifest in force")
		return findings
	}
	if class.Team != team {
		add("Class", fmt.Sprintf("class %q belongs to team %q", class.Name, class.Team), "use a class of this team")
	}
	if !h.fitsAnyWorker(class.Resources) {
		add("Class", fmt.Sprintf("a task of class %q needs more than any worker has", class.Name),
			"declare smaller tasks in the manifest")
	}
	return findings
}

// fitsAnyWorker reports whether some worker has the capacity for the resources. It is
// true while the membership list has no workers.
func (h *Handler) fitsAnyWorker(required resource.Vector) bool {
	anyWorker := false
	for _, instance := range h.Membership.Snapshot().Instances {
		if instance.Kind != membership.Worker {
			continue
		}
		anyWorker = true
		if required.FitsIn(instance.Capacity) {
			return true
		}
	}
	return !anyWorker
}

func hasTeam(m manifest.Manifest, name manifest.TeamName) bool {
	for _, team := range m.Teams {
		if team.Name == name {
			return true
		}
	}
	return false
}

func findClass(m manifest.Manifest, name manifest.ClassName) (manifest.Class, bool) {
	for _, class := range m.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return manifest.Class{}, false
}

// LargestSubmission returns the memory that the largest submission needs.
func LargestSubmission(limits manifest.Limits) intake.Bytes {
	return intake.RequestBytes(int64(limits.MaxPayload)+maxSubmissionOverhead, decodingFactor)
}

// decodeSpec reads and decodes a submission. Its error satisfies intake.IsRefusal.
func decodeSpec(w http.ResponseWriter, r *http.Request, limits manifest.Limits) (Spec, []Finding, error) {
	var spec Spec
	limit := int64(limits.MaxPayload) + maxSubmissionOverhead
	content, err := intake.ReadBody(r.Context(), w, r, limit)
	giveBack := func() {}
	if err == nil {
		giveBack, err = intake.TakeForDecoding(r, len(content), decodingFactor)
	}
	if intake.IsRefusal(err) {
		return spec, nil, err
	}
	if err != nil {
		return spec, []Finding{bodyFinding(err, limit)}, nil
	}
	defer giveBack()
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return spec, []Finding{bodyFinding(err, limit)}, nil
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return spec, []Finding{{Place: "Body", Problem: "data after the JSON object", Fix: "send one JSON object"}}, nil
	}
	if spec.Priority == "" {
		spec.Priority = Normal
	}
	return spec, nil, nil
}

func bodyFinding(err error, limit int64) Finding {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Finding{
			Place: "Body", Problem: fmt.Sprintf("larger than %d bytes", limit),
			Fix: "send a smaller payload, or raise Limits.MaxPayload in the manifest",
		}
	}
	return Finding{Place: "Body", Problem: err.Error(), Fix: "send a JSON object with the fields of a job"}
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration", text)
	}
	if wait < 0 || wait > MaxWait {
		return 0, fmt.Errorf("%s is not between 0s and %s", wait, MaxWait)
	}
	return wait, nil
}

// writeRepositoryError refuses a request because of an error of the repository.
func (h *Handler) writeRepositoryError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrNotFound):
		h.writeRefusal(w, http.StatusNotFound, Refusal{Outcome: "NotRun", Reason: "NotFound"})
	case errors.Is(err, ErrCancelledBefore):
		h.writeRefusal(w, http.StatusConflict, Refusal{Outcome: "NotRun", Reason: "CancelledBefore", RetryAfter: TombstoneRetention})
	case errors.Is(err, ErrTooManyUnknown):
		h.writeRefusal(w, http.StatusServiceUnavailable, Refusal{Outcome: "NotRun", Reason: "TooManyUnknownCancels", RetryAfter: retryAfter})
	case errors.Is(err, table.ErrOutcomeUnknown):
		// Submitting again with the same key is idempotent, so the caller may retry.
		h.writeRefusal(w, http.StatusServiceUnavailable, Refusal{Outcome: "Unknown", Reason: "StoreAnswerLost", RetryAfter: retryAfter})
	default:
		h.writeRefusal(w, http.StatusServiceUnavailable, Refusal{Outcome: "NotRun", Reason: "StoreUnavailable", RetryAfter: retryAfter})
	}
}

func (h *Handler) writeRefusal(w http.ResponseWriter, status int, refusal Refusal) {
	h.Counters.Add("Job.Refused."+refusal.Reason, 1)
	w.Header().Set("Jacinthtrail-Outcome", refusal.Outcome)
	w.Header().Set("Jacinthtrail-Reason", refusal.Reason)
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		w.Header().Set("Jacinthtrail-Retry-After", refusal.RetryAfter.String())
	}
	writeJSON(w, status, refusal)
}

func newAnswer(record Record) Answer {
	return Answer{
		ID: record.ID, Team: record.Team, Key: record.Key, State: record.State, Reason: record.Reason,
		Tasks: record.Spec.Tasks, Done: record.Done.Len(), Submitted: record.Submitted,
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}
