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
	// dialTimeout is short because peers in the same region answer within milliseconds.
	dialTimeout = time.Second
	// minSilence is the shortest wait without a response after which a timed-out
	// call closes its connection. A shorter wait does not show that the connection
	// is broken.
	minSilence = 45 * time.Millisecond
	// callTimeout bounds calls whose context has no deadline.
	callTimeout = 2 * time.Second
)

// Client calls peers over one connection per peer. It is safe for concurrent use.
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
	opened       time.Time
	lastResponse atomic.Int64 // Time of the last response after opened, in nanoseconds by the monotonic clock; 0 before the first.
}

// NewClient returns a client without connections.
func NewClient(tracing *telemetry.Tracing) *Client {
	c := &Client{tracing: tracing}
	for i := range c.shards {
		c.shards[i].conns = map[string]*connection{}
	}
	return c
}

// Call calls a method of the peer at address with params and decodes the response
// into result. It returns a *kumquathitch.PeerError on failure; the peer may have
// executed the call nevertheless. A call without a deadline in ctx times out
// after 2 s.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, span := c.tracing.Tracer.Start(ctx, "call "+method)
	defer span.End()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return &kumquathitch.PeerError{Address: address, Method: method, Cause: err}
	}
	message := envelope[any]{Trace: propagation.MapCarrier{}, Body: params}
	c.tracing.Propagator.Inject(ctx, message.Trace)
	start := time.Now()
	err = conn.Call(ctx, method, message, result)
	conn.recordResult(start, err)
	if err != nil {
		return &kumquathitch.PeerError{Address: address, Method: method, Cause: err}
	}
	return nil
}

// recordResult records the time of a response. If a call timed out and the
// connection gave no response to any call in the meantime, recordResult closes the
// connection: after a partition, TCP can take two minutes until it retransmits,
// while a new connection works at once.
func (c *connection) recordResult(start time.Time, err error) {
	var remote *jsonrpc2.Error
	switch {
	case err == nil || errors.As(err, &remote):
		c.lastResponse.Store(int64(time.Since(c.opened)))
	case errors.Is(err, context.DeadlineExceeded) && time.Since(start) >= minSilence && c.lastResponse.Load() < int64(start.Sub(c.opened)):
		_ = c.Close()
	}
}

// connect returns the open connection to an address or opens one. It holds no
// lock while it dials.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	s := &c.shards[kumquathitch.ShardOf(address, shardCount)]
	if conn := s.lookup(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	tcpConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	// The connection outlives the call that opened it.
	opened := &connection{opened: time.Now(), Conn: jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(tcpConn), ignoreRequests{})}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if existing := s.conns[address]; existing != nil && !isClosed(existing) {
		_ = opened.Close()
		return existing, nil
	}
	s.conns[address] = opened
	return opened, nil
}

func (s *shard) lookup(address string) *connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conn := s.conns[address]
	if conn != nil && isClosed(conn) {
		delete(s.conns, address)
		return nil
	}
	return conn
}

func isClosed(conn *connection) bool {
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

// ignoreRequests ignores requests of peers on connections that this process opened.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
