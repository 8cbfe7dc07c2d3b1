package peer

import (
	"context"
	"net"
	"sync"
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
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient(tracing *telemetry.Tracing) *Client {
	c := &Client{tracing: tracing}
	for i := range c.shards {
		c.shards[i].conns = map[string]*jsonrpc2.Conn{}
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
	if err := conn.Call(ctx, method, message, result); err != nil {
		return &kumquathitch.PeerError{Address: address, Method: method, Cause: err}
	}
	return nil
}

// conn returns the open connection to an address, or opens one. No lock is held while it dials.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
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
	fresh := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(dialled), refuseCalls{})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if old := s.conns[address]; old != nil && !closed(old) {
		_ = fresh.Close()
		return old, nil
	}
	s.conns[address] = fresh
	return fresh, nil
}

func (s *shard) open(address string) *jsonrpc2.Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conn := s.conns[address]
	if conn != nil && closed(conn) {
		delete(s.conns, address)
		return nil
	}
	return conn
}

func closed(conn *jsonrpc2.Conn) bool {
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
