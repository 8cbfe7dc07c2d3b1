package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/standin"
)

// TestRepeatedCallThatCrashesServersIsRefused guards against a call that crashes one server
// after the other when it reaches them on kept connections.
func TestRepeatedCallThatCrashesServersIsRefused(t *testing.T) {
	for _, path := range []string{"/book/deadly", "/read/deadly", "/stream/plan/deadly"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprint(path, " kept ", kept), func(t *testing.T) {
				vm := newTestVM(t)
				crashes := &counter{}
				answer := func(call *standin.ScriptedCall) bool {
					if call.Request.URL.Path == path {
						crashes.add()
						return false
					}
					call.WriteAnswer(call.ID)
					return true
				}
				for n := range 8 {
					vm.startScripted(fmt.Sprint("i-", n), answer)
				}
				for n := range 12 {
					if kept { // Every server answers a sound call, whose connection is kept.
						for i := range 16 {
							vm.call(fmt.Sprint("sound-", n, "-", i), fmt.Sprint("/book/", n, "-", i))
						}
					}
					vm.call(fmt.Sprint("deadly-", n), path)
					clock.Pause(t.Context(), 10*time.Millisecond)
				}
				must.LessEq(t, 3, crashes.total())
			})
		}
	}
}

// TestResponseThatRanNothingKeepsCrashes guards against forgetting the crashes of a call
// because a server turned it away, or left open whether it ran.
func TestResponseThatRanNothingKeepsCrashes(t *testing.T) {
	for _, status := range []string{"429 Too Many Requests", "408 Request Timeout", "503 Service Unavailable", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			vm := newTestVM(t)
			calls, crashes := &counter{}, &counter{}
			answer := func(call *standin.ScriptedCall) bool {
				if calls.add()%2 == 1 {
					call.WriteHead(status, "Content-Length: 0\r\n")
					return true
				}
				crashes.add()
				return false
			}
			for n := range 8 {
				vm.startScripted(fmt.Sprint("i-", n), answer)
			}
			for n := range 12 {
				vm.call(fmt.Sprint("deadly-", n), "/book/deadly")
				clock.Pause(t.Context(), 10*time.Millisecond)
			}
			must.LessEq(t, 3, crashes.total())
		})
	}
}

// TestRepeatWithAnotherKeyIsSameCall guards against a call that is not recognized when its
// account uses another key, or asks for another model.
func TestRepeatWithAnotherKeyIsSameCall(t *testing.T) {
	vm := newTestVM(t)
	keys := []string{"key-1", "key-2", "key-3"}
	deployment := routes()
	deployment.Version = 2
	deployment.Tenants = kumquathitch.Tenants{{Name: "crew", Keys: keys}}
	vm.handler.Deployments.Apply(deployment, nil)
	crashes := &counter{}
	for n := range 4 {
		vm.startScripted(fmt.Sprint("i-", n), func(*standin.ScriptedCall) bool { crashes.add(); return false })
	}
	for n := range 9 {
		vm.callHeaders(fmt.Sprint("deadly-", n), "/book/deadly", map[string]string{"Api-Key": keys[n%len(keys)]})
		clock.Pause(t.Context(), 10*time.Millisecond)
	}
	must.LessEq(t, 3, crashes.total())
}
