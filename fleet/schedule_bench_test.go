package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

// BenchmarkSchedule assigns calls of 80 VMs to engines that are three quarters full, four of which
// hold each model.
func BenchmarkSchedule(b *testing.B) {
	for _, engines := range []int{60, 120} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := fleet.NewFleet("entry-0", "a")
			for i := range engines {
				f.Put(newEngine(fmt.Sprint("e", i), 1, fmt.Sprint("m", i%(engines/4)), fmt.Sprint("m", (i+1)%(engines/4))), start)
			}
			scheduler := fleet.NewGlobalScheduler(f)
			scheduler.Configure(rankedDeployment(competingKinds(steady(1), 1)))
			loads := make([]map[string]int, 80)
			sent := make([]string, engines*6)
			for i := range loads {
				loads[i] = map[string]int{}
			}
			b.ResetTimer()
			for n := range b.N {
				vm := n % len(loads)
				if ended := sent[n%len(sent)]; ended != "" { // The call that this place had has ended.
					if loads[n%len(loads)][ended]--; loads[n%len(loads)][ended] <= 0 {
						delete(loads[n%len(loads)], ended)
					}
				}
				request := scheduleRequest(fmt.Sprint("entry-", vm), loads[vm])
				request.Model, request.Priority, request.FirstByteLimit = fmt.Sprint("m", n%(engines/4)), n%3, 0
				request.Prompt = kumquathitch.PromptParts{{ID: "shared", Tokens: 200}, {ID: fmt.Sprint(n % 1000), Tokens: 800}}
				response := scheduler.Schedule(request, start.Add(time.Duration(n)*2*time.Millisecond))
				if sent[n%len(sent)] = response.Instance; response.Instance != "" {
					loads[vm][response.Instance]++
				}
			}
		})
	}
}
