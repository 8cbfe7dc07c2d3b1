package vm_test

import (
	"bytes"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

// startEngineIn starts an engine in a data centre. It also returns the address.
func (p *testPlatform) startEngineIn(dataCentre, id string, models ...string) (*standin.Instance, string) {
	p.t.Helper()
	instance := standin.NewInstance(id, "llm", models...)
	instance.Zone, instance.ModelMB = dataCentre, map[string]float64{"m": 90, "n": 90}
	listener := httptest.NewServer(instance)
	p.t.Cleanup(listener.Close)
	p.t.Cleanup(instance.Close)
	address := listener.Listener.Addr().String()
	p.store.Put("servers/"+id, instance.Registration(address))
	return instance, address
}

// metric returns the value of a metric of a VM.
func (v *testVM) metric(t testing.TB, name string) float64 {
	t.Helper()
	var text bytes.Buffer
	v.set.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			parsed, err := strconv.ParseFloat(value, 64)
			must.NoError(t, err)
			return parsed
		}
	}
	return -1
}

// evacuationTest is a fleet with an engine in each of two data centres.
type evacuationTest struct {
	*testPlatform
	kept, emptied *standin.Instance
	keptAddress   string
}

func newEvacuationTest(t *testing.T, emptiedModels ...string) *evacuationTest {
	t.Helper()
	p := newTestPlatform(t)
	p.store.Put("op/config", testDeployment(1, "k1"))
	e := &evacuationTest{testPlatform: p}
	e.kept, e.keptAddress = p.startEngineIn("zone-a", "i-kept", "m")
	e.emptied, _ = p.startEngineIn("zone-b", "i-emptied", emptiedModels...)
	return e
}

// startTwo starts two VMs that know each other, and returns the leader first.
func (e *evacuationTest) startTwo() (leader, other *testVM) {
	e.t.Helper()
	first, second := e.startVM("entry-1"), e.startVM("entry-2")
	e.awaitAnswer(first)
	e.awaitAnswer(second)
	client := newPeerClient(e.t)
	e.waitFor("a VM leads", func() bool {
		leader, other = first, second
		if exchangeWith(e.t, client, second).Leader {
			leader, other = second, first
		}
		return exchangeWith(e.t, client, leader).Leader && exchangeWith(e.t, client, other).LeaderAddress == leader.peers
	})
	e.store.Put("op/evacuate/zone-z", []byte("{}")) // After the records of both VMs.
	e.awaitEvacuations(leader, 1)
	e.awaitEvacuations(other, 1)
	e.store.Delete("op/evacuate/zone-z")
	e.awaitEvacuations(leader, 0)
	e.awaitEvacuations(other, 0)
	return leader, other
}

// awaitAnswer waits until a VM has answered a call.
func (e *evacuationTest) awaitAnswer(v *testVM) {
	e.t.Helper()
	e.waitFor("a call is answered", func() bool { status, _ := v.call(e.t, "k1", "m"); return status == 200 })
}

// awaitEvacuations waits until a VM knows of a number of evacuations.
func (e *evacuationTest) awaitEvacuations(v *testVM, count int) {
	e.t.Helper()
	e.waitFor("the VM knows of the evacuations", func() bool { return v.metric(e.t, "kumquathitch_evacuated_data_centres") == float64(count) })
}

// mustAvoid sends calls to a VM, and fails the test if one reaches the emptied engine.
func (e *evacuationTest) mustAvoid(v *testVM) {
	e.t.Helper()
	before := len(e.emptied.Arrivals())
	for range 20 {
		status, body := v.call(e.t, "k1", "m")
		must.Eq(e.t, 200, status, must.Sprint(body))
	}
	must.Len(e.t, before, e.emptied.Arrivals())
}

// TestEvacuationIsAppliedAndTakenBack guards against calls to a data centre that the operator
// evacuates, and against one that gets no calls after that.
func TestEvacuationIsAppliedAndTakenBack(t *testing.T) {
	e := newEvacuationTest(t, "m")
	first, second := e.startVM("entry-1"), e.startVM("entry-2")
	e.awaitAnswer(first)
	e.awaitAnswer(second)
	e.store.Put("op/evacuate/zone-b", []byte("{}"))
	e.awaitEvacuations(first, 1)
	e.awaitEvacuations(second, 1)
	e.mustAvoid(first)
	e.mustAvoid(second)
	e.store.Delete("op/evacuate/zone-b")
	e.awaitEvacuations(first, 0)
	e.awaitEvacuations(second, 0)
	e.store.Delete("servers/i-kept") // Otherwise the scheduler may prefer it for all of the few calls.
	before := len(e.emptied.Arrivals())
	e.waitFor("the engine gets calls again", func() bool { second.call(t, "k1", "m"); return len(e.emptied.Arrivals()) > before })
}

// TestInstancesAreTakenForColdAfterEvacuation guards against more calls than a cold instance
// takes: those of an evacuated data centre may be cold before their entries say so.
func TestInstancesAreTakenForColdAfterEvacuation(t *testing.T) {
	e := newEvacuationTest(t, "m")
	e.store.Put("op/config", bytes.Replace(testDeployment(2, "k1"), []byte(`"max_conns":100`), []byte(`"max_conns":100,"cold_s":30.0,"cold_per_s":10.0`), 1))
	v := e.startVM("entry-1")
	e.awaitAnswer(v)
	e.store.Put("op/evacuate/zone-b", []byte("{}"))
	e.awaitEvacuations(v, 1)
	e.store.Delete("op/evacuate/zone-b")
	e.awaitEvacuations(v, 0)
	e.waitFor("the instance counts as cold", func() bool { return v.metric(t, "kumquathitch_instances_cold") == 1 })
}

// TestModelIsLoadedOutsideEvacuatedDataCentre guards against a model that stays unavailable,
// or is served by the evacuated data centre, because it was only there.
func TestModelIsLoadedOutsideEvacuatedDataCentre(t *testing.T) {
	e := newEvacuationTest(t, "n")
	v := e.startVM("entry-1")
	e.awaitAnswer(v)
	e.store.Put("op/evacuate/zone-b", []byte("{}"))
	e.awaitEvacuations(v, 1)
	before := len(e.emptied.Arrivals())
	e.waitFor("the other engine answers", func() bool {
		e.store.Put("servers/i-kept", e.kept.Registration(e.keptAddress)) // As engines do about once a second.
		status, _ := v.call(t, "k1", "n")
		return status == 200
	})
	must.Len(t, before, e.emptied.Arrivals())
	e.store.Put("op/evacuate/zone-a", []byte("{}"))
	e.awaitEvacuations(v, 2)
	status, body := v.call(t, "k1", "m")
	must.Eq(t, 503, status, must.Sprint(body))
	must.StrHasPrefix(t, "evacuated:", body)
}

// TestVMWithoutStoreLearnsOfEvacuation guards against calls from a VM to which the store refuses
// reads, also as the leader, and against one that goes back to the state before the evacuation.
func TestVMWithoutStoreLearnsOfEvacuation(t *testing.T) {
	for _, name := range []string{"leader", "leader that can write", "another VM"} {
		t.Run(name, func(t *testing.T) {
			e := newEvacuationTest(t, "m")
			leader, other := e.startTwo()
			refused, served := leader, other
			if name == "another VM" {
				refused, served = other, leader
			}
			if name == "leader that can write" {
				e.stores[refused.name].refuseWatch.Store(true)
				<-time.NewTimer(400 * time.Millisecond).C // The watch under way ends.
			} else {
				e.stores[refused.name].refuse.Store(true)
			}
			e.stores[served.name].refuse.Store(true)
			e.store.Put("op/evacuate/zone-b", []byte("{}"))
			e.stores[served.name].refuse.Store(false)
			e.awaitEvacuations(refused, 1)
			e.mustAvoid(refused)
			e.store.SetFaults(standin.KeyspaceFaults{Down: true}) // For all VMs. A new one has nothing but the others.
			e.seeds = []string{leader.peers, other.peers}
			third := e.startVM("entry-3")
			e.awaitEvacuations(third, 1)
			e.mustAvoid(refused)
		})
	}
}

// TestCallsGoOnUntilDataCentreCloses guards against a hole while models are being loaded
// elsewhere, against calls after the lag that the platform allows, and against a VM that
// grants that time to an evacuation whose age it does not know.
func TestCallsGoOnUntilDataCentreCloses(t *testing.T) {
	p := newTestPlatform(t)
	p.lag = 5 * time.Second
	p.store.Put("op/config", testDeployment(1, "k1"))
	only, _ := p.startEngineIn("zone-b", "i-only", "m")
	e := &evacuationTest{testPlatform: p, emptied: only}
	v := e.startVM("entry-1")
	e.awaitAnswer(v)
	asked := time.Now()
	p.store.Put("op/evacuate/zone-b", []byte("{}"))
	e.awaitEvacuations(v, 1)
	status, body := v.call(t, "k1", "m")
	must.Eq(t, 200, status, must.Sprint(body))
	late := e.startVM("entry-2")
	e.waitFor("the new VM is ready", late.isReady)
	status, body = late.call(t, "k1", "m")
	must.Eq(t, 503, status, must.Sprint(body))
	e.waitFor("the data centre is closed", func() bool {
		status, body := v.call(t, "k1", "m")
		return status == 503 && strings.HasPrefix(body, "evacuated:")
	})
	must.Between(t, time.Second, time.Since(asked), p.lag)
	before := len(only.Arrivals())
	status, _ = v.call(t, "k1", "m")
	must.Eq(t, 503, status)
	must.Len(t, before, only.Arrivals())
}

// TestEvacuationOutlivesLeader guards against an evacuation, or its end, that is lost with the
// leader, and against a VM that starts meanwhile and does not know of it.
func TestEvacuationOutlivesLeader(t *testing.T) {
	e := newEvacuationTest(t, "m")
	leader, other := e.startTwo()
	e.store.Put("op/evacuate/zone-b", []byte("{}"))
	e.awaitEvacuations(other, 1)
	leader.stop()
	third := e.startVM("entry-3")
	e.awaitEvacuations(third, 1)
	e.awaitAnswer(third)
	e.mustAvoid(third)
	e.mustAvoid(other)
	e.store.Delete("op/evacuate/zone-b")
	e.awaitEvacuations(other, 0)
	e.awaitEvacuations(third, 0)
}

// TestEvacuationAfterLostHistory guards against an evacuation whose start or end is in the
// history that the store has lost.
func TestEvacuationAfterLostHistory(t *testing.T) {
	e := newEvacuationTest(t, "m")
	v := e.startVM("entry-1")
	e.awaitAnswer(v)
	lose := func(change func()) {
		e.store.SetFaults(standin.KeyspaceFaults{Down: true})
		<-time.NewTimer(500 * time.Millisecond).C // The watch under way ends.
		change()
		e.store.SetFaults(standin.KeyspaceFaults{CompactedBefore: e.store.Put("servers/other", []byte("{}"))})
	}
	lose(func() { e.store.Put("op/evacuate/zone-b", []byte("{}")) })
	e.awaitEvacuations(v, 1)
	e.mustAvoid(v)
	lose(func() { e.store.Delete("op/evacuate/zone-b") })
	e.awaitEvacuations(v, 0)
}
