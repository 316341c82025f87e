// Package httpserver runs the HTTP server of a stand-in process.
package httpserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// readHeaderTimeout bounds the time in which a client must send a request's header.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds the time that requests in flight have to finish on shutdown.
	shutdownTimeout = 5 * time.Second
)

// Ready is the JSON line that a stand-in process prints once it accepts connections.
type Ready struct {
	// Address is the host:port on which the process listens.
	Address string
}

// Listen listens on a TCP address (host:port, port 0 for any free port) and writes Ready
// as a JSON line to out.
func Listen(ctx context.Context, address string, out io.Writer) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	err = json.NewEncoder(out).Encode(Ready{Address: listener.Addr().String()})
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// Serve serves HTTP on the listener until ctx ends. Requests in flight then have 5 s to
// finish before their connections are closed.
func Serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	server.ReadHeaderTimeout = readHeaderTimeout
	group, serveCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-serveCtx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}
