package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reservedPort reserves a loopback port with a bound socket that doesn't listen, so that
// the kernel refuses connections while no listener is open and doesn't assign the port to
// another socket.
type reservedPort struct {
	socket  int
	address string
}

func reservePort() (*reservedPort, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &reservedPort{socket: socket}
	if err := p.bind(); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

func (p *reservedPort) bind() error {
	if err := setReusePort(p.socket); err != nil {
		return err
	}
	if err := unix.Bind(p.socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	name, err := unix.Getsockname(p.socket)
	if err != nil {
		return err
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return fmt.Errorf("unexpected socket address type %T", name)
	}
	p.address = fmt.Sprintf("127.0.0.1:%d", bound.Port)
	return nil
}

func (p *reservedPort) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) { optionErr = setReusePort(int(fd)) })
		return errors.Join(err, optionErr)
	}}
	// A multipath TCP socket can't share the port with the reserved socket.
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp4", p.address)
}

func (p *reservedPort) release() {
	_ = unix.Close(p.socket)
}

func setReusePort(socket int) error {
	return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}
