package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.opentelemetry.io/otel/propagation"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/telemetry"
)

const (
	shardCount = 16
	// dialTimeout is short, because a peer in the same region answers in milliseconds.
	dialTimeout = time.Second
	// silentTime is how long a connection must have given no answer before it is
	// closed. Calls with a shorter limit say nothing of the connection.
	silentTime = 45 * time.Millisecond
	// callTimeout bounds calls whose context has no deadline.
	callTimeout = 2 * time.Second
)

// Client calls peers, over one connection to each. It is safe for concurrent use.
type Client struct {
	tracing *telemetry.Tracing
	shards  [shardCount]shard
}

type shard struct {
	mutex sync.Mutex
	conns map[string]*connection
}

// connection is an open connection to a peer.
type connection struct {
	*jsonrpc2.Conn
	answered atomic.Int64 // When the last answer came, nanoseconds since 1970.
}

// NewClient returns a client without connections.
func NewClient(tracing *telemetry.Tracing) *Client {
	c := &Client{tracing: tracing}
	for i := range c.shards {
		c.shards[i].conns = map[string]*connection{}
	}
	return c
}

// Call sends params to a method of the peer at address and decodes its answer
// into result. It returns a *kumquathitch.PeerError, after which the call may have taken effect.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, span := c.tracing.Tracer.Start(ctx, "call "+method)
	defer span.End()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &kumquathitch.PeerError{Address: address, Method: method, Cause: err}
	}
	message := envelope[any]{Trace: propagation.MapCarrier{}, Body: params}
	c.tracing.Propagator.Inject(ctx, message.Trace)
	begun := time.Now()
	err = conn.Call(ctx, method, message, result)
	conn.settle(begun, err)
	if err != nil {
		return &kumquathitch.PeerError{Address: address, Method: method, Cause: err}
	}
	return nil
}

// settle notes an answer. It closes a connection that gave none while a call
// waited for it to the end: after a partition, TCP can take two minutes until it
// sends again, and a new connection works at once.
func (c *connection) settle(begun time.Time, err error) {
	var refused *jsonrpc2.Error
	switch {
	case err == nil || errors.As(err, &refused):
		c.answered.Store(time.Now().UnixNano())
	case errors.Is(err, context.DeadlineExceeded) && time.Since(begun) >= silentTime && c.answered.Load() < begun.UnixNano():
		_ = c.Close()
	}
}

// conn returns the open connection to an address, or opens one. No lock is held while it dials.
func (c *Client) conn(ctx context.Context, address string) (*connection, error) {
	s := &c.shards[kumquathitch.ShardOf(address, shardCount)]
	if conn := s.open(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	dialled, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	// The connection outlives the call that opened it.
	fresh := &connection{Conn: jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(dialled), refuseCalls{})}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if old := s.conns[address]; old != nil && !closed(old) {
		_ = fresh.Close()
		return old, nil
	}
	s.conns[address] = fresh
	return fresh, nil
}

func (s *shard) open(address string) *connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conn := s.conns[address]
	if conn != nil && closed(conn) {
		delete(s.conns, address)
		return nil
	}
	return conn
}

func closed(conn *connection) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// Close closes all connections.
func (c *Client) Close() {
	for i := range c.shards {
		s := &c.shards[i]
		s.mutex.Lock()
		for address, conn := range s.conns {
			_ = conn.Close()
			delete(s.conns, address)
		}
		s.mutex.Unlock()
	}
}

// refuseCalls ignores requests on connections that this process opened.
type refuseCalls struct{}

func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
