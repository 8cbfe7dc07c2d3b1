package fleet_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

// plainDay is a load of calls to a plain service whose servers share their machines with
// others. Each VM knows its own calls, what responses say, and the calls of the other VMs as
// of its last exchange.
type plainDay struct {
	perSecond float64
	states    bool          // Servers state how slow they are.
	slowFor   time.Duration // Mean time that a server stays slow.
	random    *rand.Rand
	now       time.Time
	events    plainEvents
	servers   map[string]*plainServer
	vms       []*fleet.Fleet
	reported  []map[string]int // Calls in flight of each VM at its last exchange.
	scheduler *fleet.GlobalScheduler
	served    plainServed
}

type plainServed struct{ calls, inTime, late, refused, rejections int }

func (s *plainServed) add(other plainServed) {
	s.calls, s.inTime, s.late = s.calls+other.calls, s.inTime+other.inTime, s.late+other.late
	s.refused, s.rejections = s.refused+other.refused, s.rejections+other.rejections
}

type plainServer struct {
	slowness         float64
	running, waiting int
	queue            []func()
}

type plainEvent struct {
	at  time.Time
	run func()
}

type plainEvents []plainEvent

func (e plainEvents) Len() int           { return len(e) }
func (e plainEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e plainEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEvents) Push(x any)        { *e = append(*e, x.(plainEvent)) }
func (e *plainEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	plainVMs       = 79
	plainSlots     = 6
	plainQueue     = 24
	plainWork      = 60 * time.Millisecond
	plainObjective = 300 * time.Millisecond
	plainOneWay    = 2 * time.Millisecond
	plainSlowdown  = 2.5
	plainSlowShare = 0.15 // Of a server's time.
)

func (d *plainDay) after(wait time.Duration, run func()) {
	heap.Push(&d.events, plainEvent{at: d.now.Add(wait), run: run})
}

func (d *plainDay) exponential(mean time.Duration) time.Duration {
	return time.Duration(d.random.ExpFloat64() * float64(mean))
}

// play plays the load for some time.
func (d *plainDay) play(length time.Duration) plainServed {
	d.now, d.servers, d.reported = start, map[string]*plainServer{}, make([]map[string]int, plainVMs)
	ids := []string{"server-1", "server-2", "server-3", "server-4"}
	for _, id := range ids {
		d.servers[id] = &plainServer{slowness: 1}
		d.after(d.exponential(d.slowFor), func() { d.changeSlowness(d.servers[id]) })
	}
	for i := range plainVMs {
		vm := fleet.NewFleet("entry-"+strconv.Itoa(i), "a")
		vm.SetMemberCount(plainVMs, true)
		for _, id := range ids {
			vm.Put(kumquathitch.Instance{ID: id, Service: "desk", Address: id, DataCentre: "a", Slots: plainSlots, Revision: 1, Started: start}, start)
		}
		d.vms = append(d.vms, vm)
		d.after(time.Duration(d.random.Int64N(int64(500*time.Millisecond))), func() { d.exchange(i) })
	}
	d.scheduler = fleet.NewGlobalScheduler(d.vms[0])
	d.after(0, d.arrive)
	for end := start.Add(length); d.events.Len() > 0 && d.now.Before(end); {
		next := heap.Pop(&d.events).(plainEvent)
		d.now = next.at
		next.run()
	}
	return d.served
}

func (d *plainDay) changeSlowness(s *plainServer) {
	slow := s.slowness == 1
	s.slowness = 1
	stays := time.Duration(float64(d.slowFor) * (1 - plainSlowShare) / plainSlowShare)
	if slow {
		s.slowness, stays = plainSlowdown, d.slowFor
	}
	d.after(d.exponential(stays), func() { d.changeSlowness(s) })
}

func (d *plainDay) exchange(vm int) {
	d.reported[vm] = d.vms[vm].LocalLoads()
	others := map[string]int{}
	for i, loads := range d.reported {
		for id, count := range loads {
			if i != vm {
				others[id] += count
			}
		}
	}
	d.scheduler.SetVMLoads(strconv.Itoa(vm), d.reported[vm], d.now)
	d.vms[vm].SetRemoteLoads(others, false, d.now)
	d.after(500*time.Millisecond, func() { d.exchange(vm) })
}

// arrive lets a few calls arrive at one VM: a tenth of the VMs get half of the calls.
func (d *plainDay) arrive() {
	vm := d.random.IntN(plainVMs)
	if d.random.IntN(2) == 0 {
		vm = d.random.IntN(plainVMs / 10)
	}
	for range 2 {
		d.served.calls++
		d.send(vm, kumquathitch.InstanceCriteria{Service: "desk", LatencyObjective: plainObjective}, d.now)
	}
	wave := 1 + 0.55*math.Sin(2*math.Pi*d.now.Sub(start).Seconds()/13)
	d.after(d.exponential(time.Duration(2*float64(time.Second)/(d.perSecond*wave))), d.arrive)
}

// choose chooses a server as a VM does.
func (d *plainDay) choose(vm int, criteria kumquathitch.InstanceCriteria, arrived time.Time) (kumquathitch.InstanceChoice, error) {
	f := d.vms[vm]
	if !f.Scheduled(criteria, d.now) {
		return f.Choose(criteria, d.now)
	}
	response := d.scheduler.Schedule(&kumquathitch.ScheduleRequest{
		From: strconv.Itoa(vm), DataCentre: "a", Service: criteria.Service, LatencyObjective: plainObjective, FirstByteLimit: max(1, arrived.Add(plainObjective).Sub(d.now)),
		FullEngineRunTime: f.FullEngineRunTime(criteria.Service), Exclude: f.AvoidedInstances(criteria, d.now), InFlight: f.LocalLoads(),
	}, d.now)
	if response.EnginesFull {
		return kumquathitch.InstanceChoice{}, &kumquathitch.EnginesFullError{Service: criteria.Service}
	}
	if choice, ok := f.ChooseAssigned(criteria, kumquathitch.Assignment{InstanceID: response.Instance, SendAt: d.now}, d.now); ok {
		return choice, nil
	}
	return f.Choose(criteria, d.now)
}

func (d *plainDay) send(vm int, criteria kumquathitch.InstanceCriteria, arrived time.Time) {
	choice, err := d.choose(vm, criteria, arrived)
	if err != nil {
		d.served.refused++
		return
	}
	s := d.servers[choice.Instance.ID]
	answered := func(outcome kumquathitch.SendOutcome) {
		load := kumquathitch.LoadCount{Running: s.running, Waiting: s.waiting, Slots: plainSlots}
		if d.states {
			load.Slowness = s.slowness
		}
		d.after(plainOneWay, func() {
			load.StatedAt = d.now
			result := kumquathitch.SendResult{Outcome: outcome, FirstByte: d.now, Ended: d.now, Load: load, HasLoad: true}
			d.vms[vm].ResponseStarted(choice, kumquathitch.ResponseHead{Load: load, HasLoad: true, Received: d.now})
			d.vms[vm].Done(criteria, choice, result)
			d.finish(vm, criteria, choice, result, arrived)
		})
	}
	d.after(plainOneWay, func() {
		switch {
		case s.running < plainSlots:
			s.running++
			d.work(s, answered)
		case s.waiting < plainQueue:
			s.waiting++
			s.queue = append(s.queue, func() { d.work(s, answered) })
		default:
			answered(kumquathitch.SendNotExecuted)
		}
	})
}

// work runs a call on a server, and then the next one that waits there.
func (d *plainDay) work(s *plainServer, answered func(kumquathitch.SendOutcome)) {
	work := 0.89 * float64(plainWork) * math.Exp(0.47*d.random.NormFloat64())
	d.after(time.Duration(work*s.slowness), func() {
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue, s.waiting = s.queue[1:], s.waiting-1
			next()
		} else {
			s.running--
		}
		answered(kumquathitch.SendAnswered)
	})
}

func (d *plainDay) finish(vm int, criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, result kumquathitch.SendResult, arrived time.Time) {
	switch {
	case result.Outcome == kumquathitch.SendAnswered && d.now.Sub(arrived) <= plainObjective:
		d.served.inTime++
	case result.Outcome == kumquathitch.SendAnswered:
		d.served.late++
	default:
		d.served.rejections++
		criteria.Exclude = append(criteria.Exclude, choice.Instance.ID)
		if len(criteria.Exclude) > 2 {
			d.served.refused++
			return
		}
		d.send(vm, criteria, arrived)
	}
}

// TestUnevenPlainServers guards against full queues beside free slots: 79 VMs send some two
// hundred calls a second to four servers that are slow for a while several times a second, and
// none sees the calls of the others in time. Servers that do not state their slowness show
// the same load with a choice by each VM.
func TestUnevenPlainServers(t *testing.T) {
	for _, slowFor := range []time.Duration{90 * time.Millisecond, 600 * time.Millisecond} {
		for _, perSecond := range []float64{160, 200, 240, 300} {
			var alone, scheduled plainServed
			for seed := range uint64(2) {
				for _, states := range []bool{false, true} {
					day := &plainDay{perSecond: perSecond, slowFor: slowFor, states: states, random: rand.New(rand.NewPCG(37, seed))}
					if served := day.play(26 * time.Second); states {
						scheduled.add(served)
					} else {
						alone.add(served)
					}
				}
			}
			t.Logf("%g/s, slow for %v: by each VM %+v, scheduled %+v", perSecond, slowFor, alone, scheduled)
			must.Less(t, 0.6, float64(scheduled.late)/float64(alone.late))
			must.LessEq(t, 0.1*float64(alone.rejections), float64(scheduled.rejections))
			must.Greater(t, float64(alone.inTime)/float64(alone.calls), float64(scheduled.inTime)/float64(scheduled.calls))
			// A refused call may come back; one that is answered late cannot.
			must.GreaterEq(t, 0.95*float64(alone.inTime+alone.late)/float64(alone.calls), float64(scheduled.inTime+scheduled.late)/float64(scheduled.calls))
		}
	}
}

// TestSlownessDecays guards against calls to an instance that has just said that it is slow,
// and against avoiding it for longer than it is likely to be so.
func TestSlownessDecays(t *testing.T) {
	criteria := kumquathitch.InstanceCriteria{Service: "desk", LatencyObjective: plainObjective}
	const work = 20 * time.Millisecond // As initially assumed.
	f := fleet.NewFleet("entry-1", "a")
	chooses := func(now time.Time, slowness float64) string {
		choice, err := f.Choose(criteria, now)
		must.NoError(t, err)
		load := kumquathitch.LoadCount{Running: 1, Slots: plainSlots, Slowness: slowness, StatedAt: now.Add(work)}
		f.ResponseStarted(choice, kumquathitch.ResponseHead{Load: load, HasLoad: true, Received: load.StatedAt})
		f.Done(criteria, choice, kumquathitch.SendResult{Outcome: kumquathitch.SendAnswered, FirstByte: load.StatedAt, Ended: load.StatedAt, Load: load, HasLoad: true})
		return choice.Instance.ID
	}
	for _, id := range []string{"one", "two"} {
		f.Put(kumquathitch.Instance{ID: id, Service: "desk", Address: id, DataCentre: "a", Slots: plainSlots, Revision: 1, Started: start}, start)
	}
	must.False(t, f.Scheduled(criteria, start))
	usual := chooses(start, 1)
	must.True(t, f.Scheduled(criteria, start.Add(time.Second)))
	must.Eq(t, usual, chooses(start.Add(time.Second), 4))
	other := chooses(start.Add(time.Second+work), 1)
	must.NotEq(t, usual, other)
	must.Eq(t, other, chooses(start.Add(time.Second+2*work), 1))
	must.Eq(t, usual, chooses(start.Add(4*time.Second), 1))
	must.False(t, f.Scheduled(criteria, start.Add(2*time.Minute)))
}
