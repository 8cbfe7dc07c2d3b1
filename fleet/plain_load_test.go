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
	states    bool // Servers state how slow they are.
	slowShare float64
	slowFor   time.Duration // Mean time that a server stays slow.
	random    *rand.Rand
	now       time.Time
	events    plainEvents
	servers   map[string]*plainServer
	vms       []*fleet.Fleet
	reported  []map[string]int // Calls in flight of each VM at its last exchange.
	served    plainServed
	policy string
	gs *fleet.GlobalScheduler
}

type plainServed struct{ calls, inTime, late, refused, rejections int }

type plainServer struct {
	slowness         float64
	running, waiting, coming int
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
	for i := range 4 {
		id := "server-" + strconv.Itoa(i)
		d.servers[id] = &plainServer{slowness: 1}
		d.after(d.exponential(d.slowFor), func() { d.changeSlowness(d.servers[id]) })
	}
	for i := range plainVMs {
		vm := fleet.NewFleet("entry-"+strconv.Itoa(i), "a")
		vm.SetMemberCount(plainVMs, true)
		for id := range d.servers {
			vm.Put(kumquathitch.Instance{ID: id, Service: "desk", Address: id, DataCentre: "a", Slots: plainSlots, Revision: 1, Started: start}, start)
		}
		d.vms = append(d.vms, vm)
		d.after(time.Duration(d.random.Int64N(int64(500*time.Millisecond))), func() { d.exchange(i) })
	}
	if d.policy[:min(2, len(d.policy))] == "gs" {
		d.gs = fleet.NewGlobalScheduler(d.vms[0])
	}
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
	stays := time.Duration(float64(d.slowFor) * (1 - d.slowShare) / d.slowShare)
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
	if d.gs != nil {
		d.gs.SetVMLoads(strconv.Itoa(vm), d.reported[vm], d.now)
	}
	d.vms[vm].SetRemoteLoads(others, d.now)
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

func (d *plainDay) send(vm int, criteria kumquathitch.InstanceCriteria, arrived time.Time) {
	asked := criteria
	if d.policy == "oracle" || d.policy == "random" || d.policy=="jsq" {
		best, cost := "", math.Inf(1)
		for id, sv := range d.servers {
			c := d.random.Float64()
			if d.policy == "jsq" {
				c = float64(sv.running+sv.waiting+sv.coming)
			}
			if d.policy == "oracle" {
				c = (float64(sv.running+sv.waiting+sv.coming) + 1) * math.Sqrt(sv.slowness)
			}
			for _, e := range criteria.Exclude {
				if e == id {
					c = math.Inf(1)
				}
			}
			if c < cost {
				best, cost = id, c
			}
		}
		asked.Exclude = nil
		for id := range d.servers {
			if id != best {
				asked.Exclude = append(asked.Exclude, id)
			}
		}
	}
	var choice kumquathitch.InstanceChoice
	var err error
	if d.gs != nil {
		request := kumquathitch.ScheduleRequest{From: strconv.Itoa(vm), DataCentre: "a", Service: "desk", LatencyObjective: plainObjective, Exclude: d.vms[vm].AvoidedInstances(criteria, d.now), InFlight: d.vms[vm].LocalLoads(), FullEngineRunTime: 75*time.Millisecond}
		if len(d.policy) > 2 && d.policy[:2] == "gs" { margin, _ := strconv.Atoi(d.policy[2:]); request.FirstByteLimit = max(time.Millisecond, arrived.Add(plainObjective-time.Duration(margin)*time.Millisecond).Sub(d.now)) }
		r := d.gs.Schedule(&request, d.now)
		if r.EnginesFull {
			d.served.refused++
			return
		}
		var ok bool
		choice, ok = d.vms[vm].ChooseAssigned(criteria, kumquathitch.Assignment{InstanceID: r.Instance, SendAt: d.now}, d.now)
		if !ok {
			choice, err = d.vms[vm].Choose(criteria, d.now)
		}
	} else {
		choice, err = d.vms[vm].Choose(asked, d.now)
	}
	if err != nil {
		d.served.refused++
		return
	}
	s := d.servers[choice.Instance.ID]
	s.coming++
	answered := func(outcome kumquathitch.SendOutcome) {
		load := kumquathitch.LoadCount{Running: s.running, Waiting: s.waiting, Slots: plainSlots}
		d.after(plainOneWay, func() {
			result := kumquathitch.SendResult{Outcome: outcome, FirstByte: d.now, Ended: d.now, Load: load, HasLoad: true}
			d.vms[vm].Done(criteria, choice, result)
			d.finish(vm, criteria, choice, result, arrived)
		})
	}
	d.after(plainOneWay, func() {
		s.coming--
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

func TestPlainTrial(t *testing.T) {
	for _, policy := range []string{"gs", "gs0", "gs40", "gs75", "gs120"} {
	t.Log(policy)
	for _, slowFor := range []time.Duration{90 * time.Millisecond, 600 * time.Millisecond} {
		for _, rate := range []float64{160, 200, 240, 300} {
			total := plainServed{}
			for seed := range uint64(3) {
				d := &plainDay{policy:policy,perSecond: rate, slowShare: 0.15, slowFor: slowFor, random: rand.New(rand.NewPCG(1, seed))}
				s := d.play(39 * time.Second)
				total.calls += s.calls
				total.inTime += s.inTime
				total.late += s.late
				total.refused += s.refused
				total.rejections += s.rejections
			}
			t.Logf("%v %v: in time %.3f late %.3f refused %.3f rejections %.3f worth %.3f", slowFor, rate, float64(total.inTime)/float64(total.calls), float64(total.late)/float64(total.calls), float64(total.refused)/float64(total.calls), float64(total.rejections)/float64(total.calls), (float64(total.inTime)+0.5*float64(total.late))/float64(total.calls))
		}
	}
	}
	must.True(t, true)
}
