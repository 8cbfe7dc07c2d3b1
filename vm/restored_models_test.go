package vm_test

import (
	"testing"
	"time"
)

// TestModelsOutliveRestore guards against calls that find no engine, because a restored store has an older description of an
// engine than the VMs know: it has loaded a model since the copy, and has not restarted.
func TestModelsOutliveRestore(t *testing.T) {
	p, _ := startRestoreTest(t)
	copied := p.store.Copy()
	loaded := func() bool {
		return p.all(func(v *testVM) bool {
			instance, known := v.instance("i-1")
			return known && instance.Models.Holds("n", "")
		})
	}
	p.store.Put("servers/i-1", []byte(`{"service":"llm","address":"`+p.engine+`","zone":"zone-a","version":"v1","slots":4,"state":"ready","seq":8,"born":1,
 "models":[{"name":"m","version":1,"adapters":[]},{"name":"n","version":1,"adapters":[]}]}`))
	p.waitFor("both VMs know the loaded model", loaded)
	p.restore(copied)
	p.holdFor(1500*time.Millisecond, "the model stays", loaded)
}
