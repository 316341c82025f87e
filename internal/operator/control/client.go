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

// maxAnswerBytes is the maximum size of an answer.
const maxAnswerBytes = 16 << 20

// RemoteError is the error of a request that the instance refused.
type RemoteError struct {
	Status int
	Answer ErrorAnswer
}

// Error returns the message and the reason of the refusal, or the HTTP status if the
// answer has no message.
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
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Manifest returns the manifest in force on the instance.
func (c Client) Manifest(ctx context.Context) (manifest.Published, error) {
	return doRequest[manifest.Published](ctx, c, http.MethodGet, "/manifest", nil, nil)
}

// Publish publishes a manifest as the version after base, and waits until it is in force
// on all instances or the wait has passed.
func (c Client) Publish(ctx context.Context, m manifest.Manifest, base manifest.Version, author string, wait time.Duration) (PublishAnswer, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return PublishAnswer{}, fmt.Errorf("encode the manifest: %w", err)
	}
	query := url.Values{
		"base": {strconv.FormatUint(uint64(base), 10)},
		"by":   {author},
		"wait": {wait.String()},
	}
	return doRequest[PublishAnswer](ctx, c, http.MethodPut, "/manifest", query, body)
}

// Zones lists the availability zones.
func (c Client) Zones(ctx context.Context) ([]ZoneAnswer, error) {
	return doRequest[[]ZoneAnswer](ctx, c, http.MethodGet, "/zones", nil, nil)
}

// SetZone takes an availability zone out of service or returns it to service.
func (c Client) SetZone(ctx context.Context, name membership.Zone, to zone.Service, author string) (ZoneAnswer, error) {
	action := "in"
	if to == zone.OutOfService {
		action = "out"
	}
	path := "/zones/" + url.PathEscape(string(name)) + "/" + action
	return doRequest[ZoneAnswer](ctx, c, http.MethodPost, path, url.Values{"by": {author}}, nil)
}

// Status returns the status of the instance.
func (c Client) Status(ctx context.Context) (StatusAnswer, error) {
	return doRequest[StatusAnswer](ctx, c, http.MethodGet, "/status", nil, nil)
}

// Explain returns the recorded events of a task, job or request.
func (c Client) Explain(ctx context.Context, kind Kind, id string) (ExplainAnswer, error) {
	return doRequest[ExplainAnswer](ctx, c, http.MethodGet, "/explain/"+string(kind)+"/"+id, nil, nil)
}

// Counters returns the values of the instance's counters by name.
func (c Client) Counters(ctx context.Context) (map[string]int64, error) {
	answer, err := doRequest[struct {
		Jacinthtrail map[string]int64 `json:"jacinthtrail"`
	}](ctx, c, http.MethodGet, "/debug/vars", nil, nil)
	return answer.Jacinthtrail, err
}

// doRequest sends a request and decodes its JSON answer. It fails with *RemoteError if the
// status is not 200.
func doRequest[Answer any](ctx context.Context, c Client, method, path string, query url.Values, body []byte) (Answer, error) {
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, fmt.Errorf("read the answer of the entry instance: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		remote := &RemoteError{Status: response.StatusCode}
		// If the answer isn't JSON, the error has only the status.
		_ = json.Unmarshal(content, &remote.Answer)
		return answer, remote
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, fmt.Errorf("decode the answer of the entry instance: %w", err)
	}
	return answer, nil
}
