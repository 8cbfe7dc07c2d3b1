package route

import "time"

// SlackFactor returns the multiple of the first-token target that a request of a
// route class may take before it counts as overload. It is largest for class
// batch, because no user waits for such a request.
func SlackFactor(class string) float64 {
	switch class {
	case "interactive":
		return 1
	case "batch":
		return 20
	}
	return 3
}

// Priority returns the priority sent to engines; lower is more urgent. The route
// class decides first, then the account class.
func Priority(class, accountClass string) int {
	const step = 10
	priority := step
	switch class {
	case "interactive":
		priority = 0
	case "batch":
		priority = 2 * step
	}
	switch accountClass {
	case "gold":
		return priority
	case "bronze":
		return priority + 2
	}
	return priority + 1
}

// AllowedTTFB returns the time that a request may take to its first token: the
// time left until firstByteDeadline, multiplied by the slack factor of its
// class, and at least 1 ms. It is 0, for no limit, if the deadline is zero.
func AllowedTTFB(class string, firstByteDeadline, now time.Time) time.Duration {
	if firstByteDeadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Duration(float64(firstByteDeadline.Sub(now))*SlackFactor(class)))
}
