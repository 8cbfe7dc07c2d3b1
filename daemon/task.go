package daemon

import "context"

// taskEnd reports the end of one of the daemon's goroutines.
type taskEnd struct {
	Name string
	Err  error // nil when the task ended because its context did.
}

// tasks starts the goroutines of a daemon. Each reports its end on Ends, which
// the daemon reads until all have ended.
type tasks struct {
	Ends    chan taskEnd
	started int
}

func newTasks() *tasks {
	return &tasks{Ends: make(chan taskEnd)}
}

// Start runs a function until it returns.
func (t *tasks) Start(ctx context.Context, name string, run func(ctx context.Context) error) {
	t.started++
	go func() {
		t.Ends <- taskEnd{Name: name, Err: run(ctx)}
	}()
}

// Wait reads the ends of all tasks that have not ended. It calls stop when the
// first one fails and returns that one's end.
func (t *tasks) Wait(stop func()) taskEnd {
	var first taskEnd
	for ; t.started > 0; t.started-- {
		end := <-t.Ends
		if end.Err != nil && first.Err == nil {
			first = end
			stop()
		}
	}
	return first
}
