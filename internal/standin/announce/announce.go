// Package announce announces a stand-in to the platform's membership list.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Interval is the time between announcements. The platform drops an instance that
// stops announcing itself.
const Interval = time.Second

// Announcer puts an instance on the membership list.
type Announcer interface {
	Announce(ctx context.Context, instance membership.Instance) error
}

// HTTP is an Announcer that sends the instance as JSON with
// POST <Platform>/membership/announce.
type HTTP struct {
	// Platform is the host:port of the platform.
	Platform string
}

// Announce sends one announcement. It returns an error if the response status isn't 2xx.
func (h HTTP) Announce(ctx context.Context, instance membership.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	url := "http://" + h.Platform + "/membership/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("announce: unexpected status %s", response.Status)
	}
	return nil
}

// Loop announces an instance periodically. If Announcer is nil, Run only waits for the end
// of its context.
type Loop struct {
	Announcer Announcer
	Clock     clockwork.Clock
	// Instance returns the current description of the instance.
	Instance func() membership.Instance
	Log      zerolog.Logger
}

// Run announces the instance every Interval until ctx ends. Each announcement has a timeout
// of Interval. A failed one isn't retried before the next is due.
func (l Loop) Run(ctx context.Context) error {
	if l.Announcer == nil {
		<-ctx.Done()
		return nil
	}
	ticker := l.Clock.NewTicker(Interval)
	defer ticker.Stop()
	failing := false
	for {
		err := l.announceOnce(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			l.Log.Info().Bool("Failing", failing).Err(err).Msg("announcements to the platform started or stopped failing")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (l Loop) announceOnce(ctx context.Context) error {
	announceCtx, cancel := clockwork.WithTimeout(ctx, l.Clock, Interval)
	defer cancel()
	return l.Announcer.Announce(announceCtx, l.Instance())
}
