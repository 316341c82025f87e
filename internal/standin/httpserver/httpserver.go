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
	// readHeaderTimeout bounds how long a connection may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout is how long requests in flight may run on after a stop.
	shutdownTimeout = 5 * time.Second
)

// Ready is the line that a stand-in process prints once it accepts connections.
type Ready struct {
	// Address is the host:port on which the process listens.
	Address string
}

// Listen opens a TCP listener at address (host:port, port 0 for any) and prints
// Ready as a JSON line to out.
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

// Serve serves HTTP on the listener until ctx ends. Requests in flight may finish
// within 5 s; their connections are closed then.
func Serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	server.ReadHeaderTimeout = readHeaderTimeout
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-groupCtx.Done()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(bounded); err != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}
