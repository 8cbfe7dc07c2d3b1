package kumquathitch

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// maxPause bounds the pause that an upstream may ask for. Without a bound, one malformed
// value would shut it out until it starts again.
const maxPause = 10 * time.Minute

// PauseEnd returns the end of the pause that the Retry-After of a rejection asks for, in
// seconds. It is zero if the value is missing, malformed, a date, or not positive: the
// upstream then asks for no pause.
func PauseEnd(retryAfter string, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(retryAfter), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) || seconds <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)))
}
