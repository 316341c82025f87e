package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// maxAnswer bounds the size of an answer in bytes.
const maxAnswer = 16 << 20

// RemoteError is an answer that refuses a request.
type RemoteError struct {
	Status int
	Answer ErrorAnswer
}

// Error describes the refusal with its findings, one a line.
func (e *RemoteError) Error() string {
	text := fmt.Sprintf("%s (%s)", e.Answer.Message, e.Answer.Reason)
	if e.Answer.Message == "" {
		text = "the entry instance answered " + strconv.Itoa(e.Status)
	}
	return text
}

// Client calls the operator API of the entry instance at Address (host:port).
type Client struct {
	Address string
	// HTTP is the client to use; nil stands for http.DefaultClient.
	HTTP *http.Client
}

// Manifest returns the manifest in force on the instance.
func (c Client) Manifest(ctx context.Context) (manifest.Published, error) {
	return call[manifest.Published](ctx, c, http.MethodGet, "/manifest", nil, nil)
}

// Publish publishes a manifest as the version after base.
func (c Client) Publish(ctx context.Context, m manifest.Manifest, base manifest.Version, by string, wait time.Duration) (PublishAnswer, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return PublishAnswer{}, fmt.Errorf("encode the manifest: %w", err)
	}
	query := url.Values{
		"base": {strconv.FormatUint(uint64(base), 10)},
		"by":   {by},
		"wait": {wait.String()},
	}
	return call[PublishAnswer](ctx, c, http.MethodPut, "/manifest", query, body)
}

// Zones lists the availability zones.
func (c Client) Zones(ctx context.Context) ([]ZoneAnswer, error) {
	return call[[]ZoneAnswer](ctx, c, http.MethodGet, "/zones", nil, nil)
}

// SetZone takes a zone out of service or brings it back.
func (c Client) SetZone(ctx context.Context, name membership.Zone, to zone.Service, by string) (ZoneAnswer, error) {
	action := "in"
	if to == zone.Out {
		action = "out"
	}
	path := "/zones/" + url.PathEscape(string(name)) + "/" + action
	return call[ZoneAnswer](ctx, c, http.MethodPost, path, url.Values{"by": {by}}, nil)
}

// Status describes the instance.
func (c Client) Status(ctx context.Context) (StatusAnswer, error) {
	return call[StatusAnswer](ctx, c, http.MethodGet, "/status", nil, nil)
}

// Explain tells what became of a task, job or request.
func (c Client) Explain(ctx context.Context, kind Kind, id string) (ExplainAnswer, error) {
	return call[ExplainAnswer](ctx, c, http.MethodGet, "/explain/"+string(kind)+"/"+id, nil, nil)
}

// Counters returns the instance's counters by name.
func (c Client) Counters(ctx context.Context) (map[string]int64, error) {
	answer, err := call[struct {
		Jacinthtrail map[string]int64 `json:"jacinthtrail"`
	}](ctx, c, http.MethodGet, "/debug/vars", nil, nil)
	return answer.Jacinthtrail, err
}

func call[Answer any](ctx context.Context, c Client, method, path string, query url.Values, body []byte) (Answer, error) {
	var answer Answer
	target := "http://" + c.Address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("operator address %q: %w", c.Address, err)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, fmt.Errorf("call the entry instance: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer, fmt.Errorf("read the answer of the entry instance: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		remote := &RemoteError{Status: response.StatusCode}
		// An answer that isn't JSON leaves only the status to report.
		_ = json.Unmarshal(content, &remote.Answer)
		return answer, remote
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, fmt.Errorf("decode the answer of the entry instance: %w", err)
	}
	return answer, nil
}
