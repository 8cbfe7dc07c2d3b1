package election_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/standin"
)

// TestAdoptedRecordIsNoFirstTerm guards against a term that counts as the first one and sends orders at once, although another VM
// has led before: the response to the write of its record was lost, and the write took effect late.
func TestAdoptedRecordIsNoFirstTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewKeyspace(clock.NewSystem())
		store.Put("kumquathitch/last-leader", []byte(`{"name":"other"}`))
		link := standin.NewKeyspaceLink(store, time.Millisecond, 100*time.Millisecond)
		one := startCandidate(t, link, "one")
		defer stopAll(one)
		advance(20 * time.Millisecond) // The member is registered.
		link.ChangeFaults(func(f *standin.LinkFaults) { f.LateWrites, f.LateBy, f.Only = 1, 200*time.Millisecond, "Write" })
		advance(time.Second)
		term, leading := one.CurrentTerm()
		must.True(t, leading)
		must.False(t, term.IsFirst)
		_, active := one.ActiveTerm()
		must.False(t, active, must.Sprint("orders of the other leader may still be in transit"))
	})
}
