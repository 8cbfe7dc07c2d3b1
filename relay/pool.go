package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/link"
)

const (
	poolShards = 16
	// maxIdleTime limits how long a connection is kept unused. Instances may state
	// a shorter time.
	maxIdleTime = 8 * time.Second
	// idleMargin is how long before the instance's own idle timeout a connection is
	// no longer used.
	idleMargin = 600 * time.Millisecond
	// maxNoRetryIdleTime limits the idle time of connections that carry at-most-once
	// calls. Instances drop idle connections without notice, and a call sent on such a
	// connection has an unknown outcome.
	maxNoRetryIdleTime = 1200 * time.Millisecond
	// maxIdlePerInstance bounds the idle connections to one instance.
	maxIdlePerInstance = 48
	// readBufferBytes is enough for several events of a stream.
	readBufferBytes = 4 << 10
)

// Pool keeps idle connections to instances for reuse. It is safe for concurrent use.
type Pool struct {
	Metrics *Metrics
	shards  [poolShards]poolShard
	paces   paces
}

type poolShard struct {
	mutex sync.Mutex
	idle  map[string][]*connection // By instance ID and address, the most recently used last.
}

// connection is an open connection to an instance. It serves one call at a time.
type connection struct {
	net.Conn
	limiter   *headLimiter // Reads from Conn for reader.
	key       string
	reader    *bufio.Reader
	openedAt  time.Time // Start of the dial.
	idleSince time.Time
	idleUntil time.Time
	reused    bool
}

// NewPool returns an empty pool.
func NewPool(m *Metrics) *Pool {
	p := &Pool{Metrics: m}
	for i := range p.shards {
		p.shards[i].idle = map[string][]*connection{}
	}
	return p
}

// acquire returns an idle connection that can carry the call, or dials a new one.
func (p *Pool) acquire(ctx context.Context, instance *kumquathitch.Instance, noRetry bool, now time.Time) (*connection, error) {
	key := instance.ID + "@" + instance.Address
	for {
		c := p.takeIdle(key)
		if c == nil {
			break
		}
		if c.usable(noRetry, now) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	p.Metrics.Dials.Inc()
	conn, err := link.Dial(ctx, instance.Address, time.Now().Add(dialTimeout))
	if err != nil {
		return nil, err
	}
	limiter := &headLimiter{Conn: conn}
	return &connection{Conn: conn, limiter: limiter, key: key, openedAt: now, reader: bufio.NewReaderSize(limiter, readBufferBytes)}, nil
}

func (p *Pool) takeIdle(key string) *connection {
	s := p.shard(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := s.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	s.idle[key] = list[:len(list)-1]
	return c
}

// release returns a connection whose response was read to its end. If bytes follow
// the response, the connection is closed, since they belong to no call.
func (p *Pool) release(c *connection, now, keepAliveUntil time.Time) {
	c.idleSince, c.idleUntil = now, now.Add(maxIdleTime)
	if !keepAliveUntil.IsZero() && keepAliveUntil.Add(-idleMargin).Before(c.idleUntil) {
		c.idleUntil = keepAliveUntil.Add(-idleMargin)
	}
	if c.reader.Buffered() > 0 || !now.Before(c.idleUntil) || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	s := p.shard(c.key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.idle[c.key]) >= maxIdlePerInstance {
		_ = c.Close()
		return
	}
	s.idle[c.key] = append(s.idle[c.key], c)
}

// CloseExpired closes the connections whose idle time has run out, and drops what is
// known of instances that have sent no events for a while.
func (p *Pool) CloseExpired(now time.Time) {
	p.paces.expire(now)
	for i := range p.shards {
		s := &p.shards[i]
		s.mutex.Lock()
		for key, list := range s.idle {
			kept := list[:0]
			for _, c := range list {
				if now.Before(c.idleUntil) {
					kept = append(kept, c)
				} else {
					_ = c.Close()
				}
			}
			if s.idle[key] = kept; len(kept) == 0 {
				delete(s.idle, key)
			}
		}
		s.mutex.Unlock()
	}
}

func (p *Pool) shard(key string) *poolShard {
	return &p.shards[kumquathitch.ShardOf(key, poolShards)]
}

// usable reports whether an idle connection can carry a call.
func (c *connection) usable(noRetry bool, now time.Time) bool {
	if !now.Before(c.idleUntil) || (noRetry && now.Sub(c.idleSince) > maxNoRetryIdleTime) {
		return false
	}
	return c.openAndEmpty()
}

// openAndEmpty reports whether the connection is open and has nothing to read.
// Data that is already there would be a late response to an earlier call.
func (c *connection) openAndEmpty() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errno == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
