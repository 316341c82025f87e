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

// stop drains the instance and closes its servers, all within the drain timeout. It fails
// if requests or feeds in flight were aborted.
func (i *Instance) stop(ctx context.Context, servers ...*http.Server) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), i.drainTimeout())
	defer cancel()
	return errors.Join(i.drain(ctx), shutDown(ctx, servers...))
}

// drainTimeout returns the configured timeout. Without one, it is the time that a drain
// takes with the longest request or feed that the manifest in force allows.
func (i *Instance) drainTimeout() time.Duration {
	if i.settings.DrainTimeout > 0 {
		return i.settings.DrainTimeout
	}
	return i.settings.UnreadyDelay + releaseTimeout + longestInFlight(i.config.Current().Manifest)
}

// longestInFlight returns the longest time that a service request, a feed or a job status
// request may take.
func longestInFlight(m manifest.Manifest) time.Duration {
	longest := job.MaxWait
	for _, s := range m.Services {
		longest = max(longest, time.Duration(s.MaxDuration), time.Duration(s.MaxFeedDuration+s.IdleTimeout))
	}
	return longest
}

// drain makes the instance unready, releases its shards and waits for requests and feeds
// in flight.
func (i *Instance) drain(ctx context.Context) error {
	i.draining.Store(true)
	i.log.Info().Msg("draining")
	unready := i.clock.After(i.settings.UnreadyDelay)
	i.announce(ctx)
	i.releaseShards(ctx)
	i.triggerHeartbeats()
	// The load balancer sends new requests until its next health check. They are served,
	// because refusing them or closing their connections would make a planned stop fail
	// requests.
	select {
	case <-unready:
	case <-ctx.Done():
	}
	err := i.services.Drain(ctx)
	i.slotManager.returnAll(ctx)
	i.log.Info().Err(err).Msg("drained")
	return err
}

// shutDown closes servers once their requests have ended. If ctx ends first, it aborts
// the remaining requests and fails.
func shutDown(ctx context.Context, servers ...*http.Server) error {
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			if err := server.Shutdown(ctx); err != nil {
				return errors.Join(fmt.Errorf("requests in flight were aborted: %w", err), server.Close())
			}
			return nil
		})
	}
	return group.Wait()
}
