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
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
)

// errWriteQueueFull reports that maxQueuedBytes is reached.
var errWriteQueueFull = errors.New("entry: write queue is full; the peer has stopped reading")

// stream is a jsonrpc2.ObjectStream whose writes never block: they are queued, and
// writeLoop sends them. jsonrpc2 holds a lock while it writes and sets no deadline, so
// a write that blocked on an unresponsive connection would also block every later call
// on it.
type stream struct {
	connection net.Conn
	reader     *bufio.Reader
	counter    Counter
	// idleTimeout limits the time without input; 0 means no limit.
	idleTimeout time.Duration

	openedAt time.Time
	// used is set once a message has been read.
	used atomic.Bool
	// clock tells the budget how long messages have been arriving; incoming and outgoing are what
	// the message that arrives and the queued messages hold of it.
	clock    clockwork.Clock
	incoming *intake.Lease
	outgoing *intake.Lease

	lock        sync.Mutex
	queue       net.Buffers
	queuedBytes int
	closed      bool
	wake        chan struct{}
	// arrivingLock guards arriving, which is set while the body of a message arrives. The budget interrupts
	// reads while lock is held, so this is another one.
	arrivingLock sync.Mutex
	arriving     bool
	// readEnded is closed when ReadObject fails. After that, jsonrpc2 doesn't read again
	// and starts no more calls.
	readEnded chan struct{}
}

// newStream returns a stream. The caller must run writeLoop.
func newStream(connection net.Conn, counter Counter, idleTimeout time.Duration) *stream {
	return &stream{
		connection:  connection,
		reader:      bufio.NewReader(connection),
		counter:     counter,
		idleTimeout: idleTimeout,
		openedAt:    time.Now(),
		clock:       clockwork.NewRealClock(),
		wake:        make(chan struct{}, 1),
		readEnded:   make(chan struct{}),
	}
}

// limitMemory makes the stream take memory from a budget. It must be called before the stream is
// used.
func (s *stream) limitMemory(budget *intake.Budget, clock clockwork.Clock) {
	s.clock = clock
	s.incoming = budget.NewLease(s.interruptRead)
	s.outgoing = budget.NewLease(func() {})
}

// interruptRead makes the read of the message fail that arrives. A message that has arrived in the meantime
// is handled, so that the calls of the connection aren't lost.
func (s *stream) interruptRead() {
	s.arrivingLock.Lock()
	defer s.arrivingLock.Unlock()
	if s.arriving {
		_ = s.connection.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *stream) setArriving(arriving bool) {
	s.arrivingLock.Lock()
	defer s.arrivingLock.Unlock()
	s.arriving = arriving
}

// WriteObject encodes obj and queues it for sending.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > MaxMessageBytes {
		count(s.counter, CountRefusedTooLarge)
		return Errorf(CodeTooLarge, "message of %d bytes is over the limit of %d", len(body), MaxMessageBytes)
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
	if s.queuedBytes+len(message) > maxQueuedBytes {
		return errWriteQueueFull
	}
	if err := s.outgoing.Take(s.clock.Now(), intake.Bytes(len(message))); err != nil {
		count(s.counter, CountRefusedMemory)
		return err
	}
	s.queue = append(s.queue, message)
	s.queuedBytes += len(message)
	s.wakeWriter()
	return nil
}

func (s *stream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ReadObject reads the next message into v. An invalid message is answered with an
// error whose id is null, and ReadObject fails, which ends the connection. It must not
// be called again after it has failed.
func (s *stream) ReadObject(v any) error {
	err := s.read(v)
	if err != nil {
		close(s.readEnded)
	}
	return err
}

func (s *stream) read(v any) error {
	if s.isClosed() {
		return net.ErrClosed
	}
	if s.idleTimeout > 0 {
		if err := s.connection.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
			return err
		}
	}
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > MaxMessageBytes {
		_, _ = io.CopyN(io.Discard, s.reader, int64(min(size, maxDiscardedBytes)))
		return s.rejectMessage(CountRefusedTooLarge, Errorf(CodeTooLarge, "message of %d bytes is over the limit of %d", size, MaxMessageBytes))
	}
	defer s.incoming.Release()
	body, err := s.readBody(int(size))
	if err != nil {
		return err
	}
	s.used.Store(true)
	if err := json.Unmarshal(body, v); err != nil {
		return s.rejectMessage(CountRefusedMalformed, Errorf(CodeParse, "message is not JSON-RPC 2.0: %v", err))
	}
	return nil
}

// firstReadBytes is what a message is read into at first if its memory is limited.
const firstReadBytes = 4 << 10

// readBody reads the body of a message into a buffer that grows as the body arrives.
func (s *stream) readBody(size int) ([]byte, error) {
	s.setArriving(true)
	defer s.setArriving(false)
	s.incoming.Reading(s.clock.Now())
	// The call takes memory of its own, so a message that was ended when it had arrived may go on.
	defer func() { _ = s.incoming.Received() }()
	first := size
	if s.incoming != nil {
		first = min(size, firstReadBytes)
	}
	body := make([]byte, 0, first)
	if err := s.takeIncoming(cap(body)); err != nil {
		return nil, err
	}
	for {
		n, err := io.ReadFull(s.reader, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil || len(body) == size {
			return body, err
		}
		grown := min(2*cap(body), size)
		if err := s.takeIncoming(grown); err != nil {
			return nil, err
		}
		previous := cap(body)
		body = append(make([]byte, 0, grown), body...)
		s.incoming.Give(intake.Bytes(previous))
	}
}

func (s *stream) takeIncoming(bytes int) error {
	err := s.incoming.Take(s.clock.Now(), intake.Bytes(bytes))
	if err != nil {
		count(s.counter, CountRefusedMemory)
	}
	return err
}

func (s *stream) isClosed() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.closed
}

// rejectMessage counts an invalid message and queues an error response without an id.
func (s *stream) rejectMessage(counterName string, messageErr *Error) error {
	count(s.counter, counterName)
	body, err := json.Marshal(struct {
		Version string `json:"jsonrpc"`
		ID      any    `json:"id"`
		Error   any    `json:"error"`
	}{Version: "2.0", Error: toWireError(messageErr)})
	if err != nil {
		return err
	}
	if err := s.enqueue(body); err != nil {
		return fmt.Errorf("%w: %w", messageErr, err)
	}
	return messageErr
}

// Close stops reading immediately. Writing stops when the queue has been sent or
// flushTimeout has passed.
func (s *stream) Close() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	s.wakeWriter()
	now := time.Now()
	return errors.Join(s.connection.SetReadDeadline(now), s.connection.SetWriteDeadline(now.Add(flushTimeout)))
}

// writeLoop sends queued messages until the stream is closed or a write fails, and
// then closes the connection.
func (s *stream) writeLoop() {
	defer s.outgoing.Release()
	defer s.connection.Close()
	for range s.wake {
		batch, batchBytes, closed := s.takeQueue()
		if _, err := batch.WriteTo(s.connection); err != nil {
			_ = s.Close()
			return
		}
		s.outgoing.Give(intake.Bytes(batchBytes))
		if closed {
			return
		}
	}
}

// takeQueue empties the queue and reports whether the stream is closed, which makes
// this the last batch.
func (s *stream) takeQueue() (batch net.Buffers, batchBytes int, closed bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	batch, batchBytes = s.queue, s.queuedBytes
	s.queue, s.queuedBytes = nil, 0
	if !s.closed {
		_ = s.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return batch, batchBytes, s.closed
}
