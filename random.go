package kumquathitch

// Random draws the random parts of delays and choices. Implementations are safe for
// concurrent use, and need not be unpredictable.
type Random interface {
	// Int64N returns a number from 0 to limit-1.
	Int64N(limit int64) int64
}
