package vm

import (
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// changesKept is the number of changes that the leader can pass on. A VM that
	// is further behind reads the store itself.
	changesKept = 1024
	// loadsTerm is how long the calls that a VM told count.
	loadsTerm = 2 * time.Second
)

// news is what the leader passes on to the other VMs: changes of the store, so
// that they need no watches of their own, and the calls of all VMs.
type news struct {
	mutex   sync.Mutex
	changes []kumquathitch.KeyChange
	from    uint64 // Changes after this revision are held.
	loads   map[string]toldLoads
}

// toldLoads are the calls that one VM has under way.
type toldLoads struct {
	byInstance map[string]int
	until      time.Time
}

// restart forgets the changes, after the store was read anew at a revision.
func (n *news) restart(revision uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.changes, n.from = nil, revision
}

// add keeps changes for the other VMs.
func (n *news) add(changes []kumquathitch.KeyChange) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, change := range changes {
		// An earlier change of the same key is of no use any more.
		n.changes = slices.DeleteFunc(n.changes, func(earlier kumquathitch.KeyChange) bool { return earlier.Key == change.Key })
		n.changes = append(n.changes, change)
	}
	if over := len(n.changes) - changesKept; over > 0 {
		n.from = n.changes[over-1].Revision
		n.changes = append([]kumquathitch.KeyChange(nil), n.changes[over:]...)
	}
}

// after returns the changes after a revision, with ok unset when some are not held.
func (n *news) after(revision uint64) (changes []kumquathitch.KeyChange, ok bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if revision < n.from {
		return nil, false
	}
	for _, change := range n.changes {
		if change.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, true
}

// tell takes in the calls of a VM and returns those of the others.
func (n *news) tell(vm string, loads map[string]int, now time.Time) map[string]int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.loads == nil {
		n.loads = map[string]toldLoads{}
	}
	n.loads[vm] = toldLoads{byInstance: loads, until: now.Add(loadsTerm)}
	others := map[string]int{}
	for name, told := range n.loads {
		if now.After(told.until) {
			delete(n.loads, name)
			continue
		}
		if name == vm {
			continue
		}
		for id, count := range told.byInstance {
			others[id] += count
		}
	}
	return others
}
