package intake

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// reason says why connections are closed.
type reason string

const (
	reasonConnections reason = "connections" // Too many are open.
	reasonHeadMemory  reason = "head-memory" // The heads of all requests take too much.
	reasonHeadSize    reason = "head-size"
	reasonHeadTime    reason = "head-time"
	reasonEmptyLines  reason = "empty-lines"
	reasonBuffers     reason = "buffers" // The bodies and responses of all requests take too much.
)

// reportInterval is the shortest time between two log lines for one reason.
const reportInterval = 10 * time.Second

// reporter counts the connections that are closed, and logs them with a bounded number of lines.
type reporter struct {
	name   string
	log    *zap.Logger
	set    *metrics.Set
	mutex  sync.Mutex
	counts map[reason]*closings
}

// closings are the connections closed for one reason since the last log line.
type closings struct {
	count    int
	loggedAt time.Time
}

func newReporter(s Settings) *reporter {
	return &reporter{name: s.Name, log: s.Logger, set: s.Metrics, counts: map[reason]*closings{}}
}

// add counts a connection that is closed.
func (r *reporter) add(why reason) {
	r.set.GetOrCreateCounter(`kumquathitch_caller_connections_refused_total{listener="` + r.name + `",reason="` + string(why) + `"}`).Inc()
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.counts[why]
	if c == nil {
		c = &closings{}
		r.counts[why] = c
	}
	c.count++
	if now.Sub(c.loggedAt) < reportInterval {
		return
	}
	r.log.Warn("caller connections closed", zap.String("listener", r.name), zap.String("reason", string(why)), zap.Int("count", c.count))
	c.count, c.loggedAt = 0, now
}
