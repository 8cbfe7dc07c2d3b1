package vm

import (
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

// roleLoad counts the work that this VM does for the others, as the leader or the
// scheduler. A VM that does such work logs its load regularly: an overloaded one is the
// cause of refusals on all VMs.
type roleLoad struct {
	exchanges *metrics.Counter
	draws     *metrics.Counter
	schedules *metrics.Counter
	adapters  *metrics.Counter
	reconcile *metrics.Histogram // Seconds.

	mutex   sync.Mutex
	since   time.Time
	counts  roleCounts
	longest time.Duration // Longest round of the placement.
	used    time.Duration // Processor time of the process up to since.
}

type roleCounts struct {
	Exchanges, Draws, Schedules, Adapters int
	Wanted, Granted, Returned             float64 // Tokens, of all accounts.
	Suspects                              int     // Crash counts in the responses.
}

func newRoleLoad(set *metrics.Set) *roleLoad {
	return &roleLoad{
		exchanges: set.NewCounter("kumquathitch_exchanges_served_total"), draws: set.NewCounter("kumquathitch_draws_served_total"),
		schedules: set.NewCounter("kumquathitch_schedules_served_total"), adapters: set.NewCounter("kumquathitch_adapter_requests_served_total"), reconcile: set.NewHistogram("kumquathitch_placement_round_seconds"),
		since: time.Now(),
	}
}

// addExchange counts an exchange of another VM that this VM answered as the leader.
func (l *roleLoad) addExchange(request *kumquathitch.ExchangeRequest, response *kumquathitch.ExchangeResponse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if request.TokensOnly {
		l.draws.Inc()
		l.counts.Draws++
	} else {
		l.exchanges.Inc()
		l.counts.Exchanges++
	}
	l.counts.Wanted += sum(request.TokensWanted)
	l.counts.Granted += sum(response.TokensGranted)
	l.counts.Returned += sum(request.TokensReturned)
}

// addSuspects counts the crash counts that a response carries.
func (l *roleLoad) addSuspects(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Suspects += count
}

func sum(tokens map[string]float64) float64 {
	total := 0.0
	for _, count := range tokens {
		total += count
	}
	return total
}

// addSchedule counts a request of another VM for an engine.
func (l *roleLoad) addSchedule() {
	l.schedules.Inc()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Schedules++
}

// addAdapter counts a request of another VM to place an adapter.
func (l *roleLoad) addAdapter() {
	l.adapters.Inc()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Adapters++
}

// addRound records a round of the placement.
func (l *roleLoad) addRound(took time.Duration) {
	l.reconcile.Update(took.Seconds())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.longest = max(l.longest, took)
}

// log writes the load since the last call, if there was any.
func (l *roleLoad) log(log *zap.Logger, leading bool, now time.Time) {
	used := processorTime()
	l.mutex.Lock()
	counts, longest, period, spent := l.counts, l.longest, now.Sub(l.since), used-l.used
	l.counts, l.longest, l.since, l.used = roleCounts{}, 0, now, used
	l.mutex.Unlock()
	if counts == (roleCounts{}) {
		return
	}
	log.Info("load of this VM's roles", zap.Bool("leading", leading), zap.Duration("period", period), zap.Int("exchanges", counts.Exchanges),
		zap.Int("draws", counts.Draws), zap.Int("schedules", counts.Schedules), zap.Int("adapters", counts.Adapters), zap.Duration("longest-placement-round", longest), zap.Duration("processor-time", spent), zap.Int("suspects-sent", counts.Suspects),
		zap.Float64("tokens-wanted", math.Round(counts.Wanted)), zap.Float64("tokens-granted", math.Round(counts.Granted)),
		zap.Float64("tokens-returned", math.Round(counts.Returned)))
}

// processorTime returns the processor time that this process has used, or 0 if the
// platform does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
