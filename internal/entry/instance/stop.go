package instance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// stop drains the instance and closes its servers, all within the drain timeout.
// It fails if anything in flight was cut off.
func (i *Instance) stop(ctx context.Context, servers ...*http.Server) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), i.drainTimeout())
	defer cancel()
	return errors.Join(i.drain(ctx), shutDown(ctx, servers...))
}

// drainTimeout returns the setting or, without one, the time that the longest
// request or feed of the manifest in force may take.
func (i *Instance) drainTimeout() time.Duration {
	if i.settings.DrainTimeout > 0 {
		return i.settings.DrainTimeout
	}
	return i.settings.UnreadyDelay + releaseTimeout + longestInFlight(i.config.Current().Manifest)
}

// longestInFlight returns the longest time that a request, a feed or a look at a
// job may take.
func longestInFlight(m manifest.Manifest) time.Duration {
	longest := job.MaxWait
	for _, s := range m.Services {
		longest = max(longest, time.Duration(s.MaxDuration), time.Duration(s.MaxFeedDuration+s.IdleTimeout))
	}
	return longest
}

// drain leaves the balancer, hands the shards on and waits for what is in flight.
func (i *Instance) drain(ctx context.Context) error {
	i.draining.Store(true)
	i.log.Info().Msg("draining")
	unready := i.clock.After(i.settings.UnreadyDelay)
	i.announce(ctx)
	i.releaseShards(ctx)
	i.kickHeartbeats()
	// Until the balancer has looked at the instance, it sends new requests. They are
	// served: a refusal, or a connection that is closed meanwhile, would be an error
	// of a planned stop.
	select {
	case <-unready:
	case <-ctx.Done():
	}
	err := i.services.Drain(ctx)
	i.slots.returnAll(ctx)
	i.log.Info().Err(err).Msg("drained")
	return err
}

// shutDown closes servers once their requests have ended. It fails if it had to
// cut off requests when ctx ended.
func shutDown(ctx context.Context, servers ...*http.Server) error {
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			if err := server.Shutdown(ctx); err != nil {
				return errors.Join(fmt.Errorf("requests were cut off: %w", err), server.Close())
			}
			return nil
		})
	}
	return group.Wait()
}
