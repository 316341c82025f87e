package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// port holds a loopback port with a bound socket that doesn't listen, so that the
// kernel refuses connections while no listener is open and gives the port to
// nobody else.
type port struct {
	holder  int
	address string
}

func reservePort() (*port, error) {
	holder, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &port{holder: holder}
	if err := p.bind(); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

func (p *port) bind() error {
	if err := sharePort(p.holder); err != nil {
		return err
	}
	if err := unix.Bind(p.holder, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	name, err := unix.Getsockname(p.holder)
	if err != nil {
		return err
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return fmt.Errorf("socket name has the type %T", name)
	}
	p.address = fmt.Sprintf("127.0.0.1:%d", bound.Port)
	return nil
}

func (p *port) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var shared error
		err := conn.Control(func(fd uintptr) { shared = sharePort(int(fd)) })
		return errors.Join(err, shared)
	}}
	// A multipath TCP socket may not share the port with the holder.
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp4", p.address)
}

func (p *port) release() {
	_ = unix.Close(p.holder)
}

func sharePort(socket int) error {
	return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}
