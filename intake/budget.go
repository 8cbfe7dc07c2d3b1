// Package intake bounds what callers make a process hold: connections, heads of
// requests, bodies, and responses that are not yet read. It stands between a listener
// and net/http, which goes on parsing HTTP.
//
// # Usage
//
//	budget := intake.NewBudget(intake.Settings{Name: "callers", Limits: limits, Logger: logger, Metrics: set})
//	server := &http.Server{Handler: handler}
//	budget.Configure(server)
//	server.Serve(budget.Listen(listener))
//
// When a limit is reached, the connections of the callers who give least for what they
// hold are closed first: see rank. A connection with a request that is being served is
// never closed.
package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 16
	// serverHeadBytes is the limit of net/http itself, for heads that a deployment allows
	// beyond HeadBytes.
	serverHeadBytes = 1 << 20
	// headSlack is added to the head that a deployment allows, for the first line.
	headSlack = 4 << 10
	// sheddingNumerator and sheddingDenominator set the share of the connections from
	// which on those are closed that give nothing. Idle ones are closed only at the limit.
	sheddingNumerator, sheddingDenominator = 15, 16
	// shedDivisor is the share of the connections that is closed at once, so that the
	// search for them is not repeated for each new connection.
	shedDivisor = 64
	// searchInterval limits how often connections are searched below the limit.
	searchInterval = 20 * time.Millisecond
)

// Settings are those of a Budget.
type Settings struct {
	Name    string // Of the listener, in metrics and logs.
	Limits  kumquathitch.IntakeLimits
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Allowed returns what the deployment allows to callers. It may be nil.
	Allowed func() kumquathitch.CallerLimits
}

// Budget counts what the callers of one listener hold. It is safe for concurrent use.
type Budget struct {
	limits      kumquathitch.IntakeLimits
	allowed     func() kumquathitch.CallerLimits
	report      *reporter
	started     time.Time
	shards      [shardCount]shard
	next        atomic.Uint64 // Number of connections so far; spreads them over the shards.
	connections atomic.Int64
	headBytes   atomic.Int64 // Charged for the heads of all connections.
	search      sync.Mutex   // Held by the one search for connections to close.
	searchedAt  atomic.Int64 // Start of the last search, in nanoseconds after started.
	lingering   lingerers
}

// shard holds a part of the connections, and is the lock of their states.
type shard struct {
	mutex sync.Mutex
	conns map[*Conn]struct{}
}

// NewBudget returns a budget without connections. Its metrics are registered in the set.
func NewBudget(s Settings) *Budget {
	if s.Allowed == nil {
		s.Allowed = func() kumquathitch.CallerLimits { return kumquathitch.CallerLimits{} }
	}
	b := &Budget{limits: s.Limits, allowed: s.Allowed, started: time.Now(), report: newReporter(s)}
	for i := range b.shards {
		b.shards[i].conns = map[*Conn]struct{}{}
	}
	label := `{listener="` + s.Name + `"}`
	s.Metrics.NewGauge("kumquathitch_caller_connections"+label, func() float64 { return float64(b.connections.Load()) })
	s.Metrics.NewGauge("kumquathitch_caller_head_bytes"+label, func() float64 { return float64(b.headBytes.Load()) })
	return b
}

// connKey is the key of the *Conn in the context of a request.
type connKey struct{}

// Configure sets the limits and hooks of a server before it serves.
func (b *Budget) Configure(server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = b.limits.HeadTimeout, b.limits.IdleTimeout, serverHeadBytes
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if held, ok := c.(*Conn); ok && state == http.StateIdle {
			held.awaitHead()
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if held, ok := r.Context().Value(connKey{}).(*Conn); ok {
			if r = held.beginRequest(r); r == nil {
				panic(http.ErrAbortHandler) // The caller has been told that the request has not run.
			}
			held.setHandling(true)
			defer held.setHandling(false)
		}
		next.ServeHTTP(w, r)
	})
}

// Listen returns a listener whose connections count in the budget.
func (b *Budget) Listen(inner net.Listener) net.Listener {
	boundReceived(inner)
	return &listener{Listener: inner, budget: b}
}

type listener struct {
	net.Listener
	budget *Budget
}

// Accept returns the next connection that the budget admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) {
				l.budget.closeConnections(1, true)
			}
			return nil, err
		}
		if c := l.budget.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit counts a connection. It returns nil if there is no space for it.
func (b *Budget) admit(conn net.Conn) net.Conn {
	count, limit := int(b.connections.Add(1)), b.limits.Connections
	switch {
	case count > limit:
		if b.closeConnections(max(count-limit, limit/shedDivisor), true) < count-limit {
			b.connections.Add(-1)
			b.report.add(reasonConnections)
			refuse(conn, http.StatusServiceUnavailable)
			_ = conn.Close()
			return nil
		}
	case count > limit*sheddingNumerator/sheddingDenominator && b.now()-time.Duration(b.searchedAt.Load()) >= searchInterval:
		b.closeConnections(max(1, limit/shedDivisor), false)
	}
	boundUnsent(conn)
	c := &Conn{Conn: conn, budget: b, shard: &b.shards[b.next.Add(1)%shardCount], since: b.now(), end: ConnectionEnd{Cause: EndNone}}
	if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		c.address = address.AddrPort().Addr()
	}
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	c.shard.conns[c] = struct{}{}
	return c
}

// now returns the time since the start of the budget.
func (b *Budget) now() time.Duration {
	return time.Since(b.started)
}

// headLimit returns the limit of one head.
func (b *Budget) headLimit() int64 {
	return max(b.limits.HeadBytes, b.allowed().MaxHeaderBytes+headSlack)
}

// chargeHead counts bytes of a head and reports whether they fit, if need be after
// others were closed.
func (b *Budget) chargeHead(c *Conn, bytes int64) bool {
	over := b.headBytes.Add(bytes) - b.limits.HeadMemory
	if over <= 0 {
		return true
	}
	b.closeCandidates(reasonHeadMemory, true, func(ranked []candidate) int {
		n := 0
		for freed := int64(0); n < len(ranked) && ranked[n].rank < rankIdle && freed < over; n++ {
			if ranked[n].conn == c {
				return n // The caller itself gives least.
			}
			freed += ranked[n].head
		}
		return n
	})
	return b.headBytes.Load() <= b.limits.HeadMemory
}

// CloseStalled closes connections whose bodies do not come, or whose responses are not
// read, until they hold some bytes together. It returns the number of these bytes.
func (b *Budget) CloseStalled(bytes int64) int64 {
	freed := int64(0)
	b.closeCandidates(reasonBuffers, true, func(ranked []candidate) int {
		ranked = slices.DeleteFunc(ranked, func(x candidate) bool { return x.rank != rankStalled })
		n := 0
		for ; n < len(ranked) && freed < bytes; n++ {
			freed += ranked[n].held
		}
		return n
	})
	return freed
}

// closeConnections closes up to a number of connections that give nothing. If none of
// them is left and the need is urgent, it closes one that waits for its next request.
func (b *Budget) closeConnections(count int, urgent bool) int {
	return b.closeCandidates(reasonConnections, urgent, func(ranked []candidate) int {
		n := 0
		for n < min(count, len(ranked)) && ranked[n].rank < rankIdle {
			n++
		}
		if n == 0 && urgent {
			return min(1, len(ranked))
		}
		return n
	})
}

// closeCandidates closes the first of the ranked connections, as many as choose
// returns, and returns how many were closed. Afterwards their descriptors are free. One
// whose request has been completed meanwhile stays open.
func (b *Budget) closeCandidates(why reason, urgent bool, choose func(ranked []candidate) int) int {
	b.search.Lock()
	defer b.search.Unlock()
	now := b.now()
	b.searchedAt.Store(int64(now))
	ranked := b.rankConnections(now, urgent)
	closed := 0
	for _, x := range ranked[:choose(ranked)] {
		if !x.conn.evict(x) {
			continue
		}
		closed++
		b.report.add(why)
	}
	return closed
}

// rankConnections returns the connections that may be closed, those to close first first.
func (b *Budget) rankConnections(now time.Duration, urgent bool) []candidate {
	var candidates []candidate
	byAddress := map[netip.Addr]int{}
	idleLimit := b.allowed().IdleTimeout
	for i := range b.shards {
		s := &b.shards[i]
		s.mutex.Lock()
		for c := range s.conns {
			byAddress[c.address]++
			if x, ok := c.candidate(now, idleLimit, urgent); ok {
				candidates = append(candidates, x)
			}
		}
		s.mutex.Unlock()
	}
	for i := range candidates {
		candidates[i].weight *= float64(byAddress[candidates[i].conn.address])
	}
	slices.SortFunc(candidates, candidate.compare)
	return candidates
}
