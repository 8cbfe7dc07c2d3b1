package daemon

import "context"

// taskResult is the result of one of the daemon's tasks.
type taskResult struct {
	Name string
	Err  error // nil when the task ended because its context did.
}

// taskGroup runs the daemon's tasks, each in its own goroutine. Each task sends
// its result on Results when it ends; Wait reads them.
type taskGroup struct {
	Results    chan taskResult
	unfinished int
}

func newTaskGroup() *taskGroup {
	return &taskGroup{Results: make(chan taskResult)}
}

// Start runs a task in a new goroutine.
func (t *taskGroup) Start(ctx context.Context, name string, run func(ctx context.Context) error) {
	t.unfinished++
	go func() {
		t.Results <- taskResult{Name: name, Err: run(ctx)}
	}()
}

// Wait waits until all tasks have ended. When the first task fails, it calls
// stop; it returns that task's result, or a zero taskResult if none failed.
func (t *taskGroup) Wait(stop func()) taskResult {
	var first taskResult
	for ; t.unfinished > 0; t.unfinished-- {
		result := <-t.Results
		if result.Err != nil && first.Err == nil {
			first = result
			stop()
		}
	}
	return first
}
