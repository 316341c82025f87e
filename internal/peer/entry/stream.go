package entry

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// errQueueFull reports that the peer does not read what is written to it.
var errQueueFull = errors.New("entry: the peer does not read")

// stream is a jsonrpc2.ObjectStream whose writes never block: they are queued, and
// write sends them. jsonrpc2 writes under a lock without a deadline, so a blocking
// write to a silent connection would also block every later call on it.
type stream struct {
	connection net.Conn
	reader     *bufio.Reader
	counter    Counter
	// idle bounds the time without input; 0 is unbounded.
	idle time.Duration

	lock   sync.Mutex
	queue  net.Buffers
	queued int
	closed bool
	wake   chan struct{}
	// ended is closed when ReadObject has failed, after which jsonrpc2 reads no more
	// and starts no more calls.
	ended chan struct{}
}

// newStream returns a stream; the caller runs write until it returns.
func newStream(connection net.Conn, counter Counter, idle time.Duration) *stream {
	return &stream{
		connection: connection,
		reader:     bufio.NewReader(connection),
		counter:    counter,
		idle:       idle,
		wake:       make(chan struct{}, 1),
		ended:      make(chan struct{}),
	}
}

// WriteObject queues obj as a message.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > MaxMessage {
		count(s.counter, CountRefusedTooLarge)
		return Errorf(CodeTooLarge, "message of %d bytes is over the limit of %d", len(body), MaxMessage)
	}
	return s.enqueue(body)
}

func (s *stream) enqueue(body []byte) error {
	message := binary.AppendUvarint(make([]byte, 0, len(body)+binary.MaxVarintLen32), uint64(len(body)))
	message = append(message, body...)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if s.queued+len(message) > maxQueued {
		return errQueueFull
	}
	s.queue = append(s.queue, message)
	s.queued += len(message)
	s.signal()
	return nil
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ReadObject reads the next message into v. A message that cannot be used is
// answered with an error under the null id, and the connection ends. It is not
// called again after it has failed.
func (s *stream) ReadObject(v any) error {
	err := s.read(v)
	if err != nil {
		close(s.ended)
	}
	return err
}

func (s *stream) read(v any) error {
	if s.isClosed() {
		return net.ErrClosed
	}
	if s.idle > 0 {
		if err := s.connection.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
			return err
		}
	}
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > MaxMessage {
		_, _ = io.CopyN(io.Discard, s.reader, int64(min(size, maxDiscard)))
		return s.refuse(CountRefusedTooLarge, Errorf(CodeTooLarge, "message of %d bytes is over the limit of %d", size, MaxMessage))
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return s.refuse(CountRefusedMalformed, Errorf(CodeParse, "message is not JSON-RPC 2.0: %v", err))
	}
	return nil
}

func (s *stream) isClosed() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.closed
}

// refuse counts an unusable message and queues a response to it.
func (s *stream) refuse(name string, reason *Error) error {
	count(s.counter, name)
	body, err := json.Marshal(struct {
		Version string `json:"jsonrpc"`
		ID      any    `json:"id"`
		Error   any    `json:"error"`
	}{Version: "2.0", Error: wireError(reason)})
	if err != nil {
		return err
	}
	if err := s.enqueue(body); err != nil {
		return fmt.Errorf("%w: %w", reason, err)
	}
	return reason
}

// Close ends reading at once, and writing after what is queued was sent or
// flushTimeout has passed.
func (s *stream) Close() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	s.signal()
	now := time.Now()
	return errors.Join(s.connection.SetReadDeadline(now), s.connection.SetWriteDeadline(now.Add(flushTimeout)))
}

// write sends queued messages until the stream is closed or a write fails, then
// closes the connection.
func (s *stream) write() {
	defer s.connection.Close()
	for range s.wake {
		batch, closed := s.take()
		if _, err := batch.WriteTo(s.connection); err != nil {
			_ = s.Close()
			return
		}
		if closed {
			return
		}
	}
}

// take empties the queue and reports whether it was the last batch.
func (s *stream) take() (net.Buffers, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	batch := s.queue
	s.queue, s.queued = nil, 0
	if !s.closed {
		_ = s.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return batch, s.closed
}
