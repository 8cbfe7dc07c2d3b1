package intake

import (
	"cmp"
	"time"
)

// rank orders the connections that may be closed. Lower ranks are closed first.
type rank int

const (
	// rankUseless: a refused connection, or one idle for longer than callers may reuse it.
	rankUseless rank = iota
	rankHead         // A head that is not complete.
	rankSilent       // No byte since the connection was opened.
	rankStalled      // A body that does not come, or a response that is not read.
	rankIdle         // Waits for its next request.
	rankYoung        // As rankHead, rankSilent or rankIdle, for less than headPatience.
)

const (
	// headPatience is how long a connection may take for a whole head before it may be
	// closed for another one. Ordinary heads arrive in one or two segments.
	headPatience = 100 * time.Millisecond
	// stallPatience is the same for a body or a response that makes no progress.
	stallPatience = time.Second
	// urgentStallPatience replaces it at a limit, where a new caller would be refused
	// otherwise. It is longer than the gaps of an upload from another region.
	urgentStallPatience = 250 * time.Millisecond
)

// candidate is a connection that may be closed.
type candidate struct {
	conn   *Conn
	phase  phase
	rank   rank
	weight float64 // What it holds, times for how long, times the connections of its address.
	head   int64   // Bytes charged for its head.
	held   int64   // Bytes of its body or its response.
}

func (x candidate) compare(y candidate) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.weight, x.weight))
}

// candidate returns the connection as a candidate, and whether it may be closed. At a
// limit the need is urgent. The shard must be locked.
func (c *Conn) candidate(now, idleLimit time.Duration, urgent bool) (candidate, bool) {
	patience := stallPatience
	if urgent {
		patience = urgentStallPatience
	}
	age, held := now-c.since, c.bodyBytes
	if c.writing > 0 {
		held = max(held, c.writing)
	}
	x := candidate{conn: c, phase: c.phase, head: c.charged, held: held, weight: float64(connectionBytes+c.charged+held) * age.Seconds()}
	switch {
	case c.phase == phaseRefused:
		x.rank = rankUseless
		return x, true
	case c.phase == phaseHead && !c.head.complete:
		x.rank = rankHead
	case c.phase == phaseNew:
		x.rank = rankSilent
	case c.phase == phaseBody, c.writing > 0:
		x.rank = rankStalled
		return x, age >= patience
	case c.phase == phaseIdle:
		x.rank = rankIdle
		if idleLimit > 0 && age > idleLimit {
			x.rank = rankUseless
		}
	default:
		return x, false
	}
	if age < headPatience {
		x.rank = rankYoung
		return x, urgent
	}
	return x, true
}
