package kumquathitch

import (
	"net/http"
	"time"
)

// RetryMode states whether a call may be sent again after an instance may have run it.
type RetryMode int

// Retry modes.
const (
	RetryNever   RetryMode = iota // Runs at most once: bookings, and streams that cannot be resumed.
	RetryRestart                  // Idempotent: may be sent again from the start.
	RetryResume                   // A stream that another instance can continue after the last event.
)

// Call is the head of a caller's request, decoded.
type Call struct {
	ID              string // Request ID of this attempt by the caller.
	Method          string
	Host            string
	Path            string // Without the query string.
	Key             string // API key as presented; it is not forwarded.
	Model           string // Empty for plain services.
	Adapter         string // Empty for the model itself.
	PromptTokens    int64
	MaxOutputTokens int64
	HasTokenCounts  bool // The request states both token counts.
	Prompt          PromptParts
	LastEventID     string    // The stream resumes after this event; empty to start from the beginning.
	Received        time.Time // When the request head was read.
	Deadline        time.Time // When the caller stops waiting.
}

// PromptPart is a part of a prompt that several calls can have in common.
type PromptPart struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// PromptParts are the parts of a prompt in order. A prefix cache can reuse a
// part only when it also holds all parts before it.
type PromptParts []PromptPart

// TokenCost returns the tokens that the call takes from its account's bucket:
// prompt plus allowed output, or defaultTokens for a call without token counts.
func (c *Call) TokenCost(defaultTokens int64) int64 {
	if !c.HasTokenCounts {
		return defaultTokens
	}
	return c.PromptTokens + c.MaxOutputTokens
}

// Target returns "model" or, for an adapter, "model/adapter".
func (c *Call) Target() string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// Dispatch holds the fields that the proxy adds when it forwards a call.
type Dispatch struct {
	Account     string
	Instance    string // ID of the addressed instance; any other instance refuses the call.
	Priority    int    // 0 (most urgent) to 9; negative to omit it.
	Deadline    time.Time
	LastEventID string // The stream resumes after this event; empty to forward the caller's value.
}

// ResponseHead is the decoded head of an upstream's response.
type ResponseHead struct {
	CallID         string // Request ID of the call; empty when the upstream does not state it.
	NotExecuted    bool   // The upstream states that it did not run the call.
	Moved          bool   // Another instance has the address, or the model is not resident.
	Signed         bool   // The response carries the upstream's signature.
	Load           LoadCount
	HasLoad        bool
	KeepAliveUntil time.Time // When the upstream closes the idle connection; zero when it does not state it.
	Received       time.Time // When the head was read.
	Leaving        bool      // The upstream leaves, and takes no new calls.
	LimitPerSecond float64   // Calls a second that the upstream takes from all VMs together.
	HasLimit       bool
	UnreadLimit    bool      // The upstream names a limit that cannot be read.
	ColdUntil      time.Time // Until when the upstream takes few calls; zero when it is not cold.
	ColdStated     bool      // The upstream states whether it is cold.
	PausedUntil    time.Time // With a rejection: until when the upstream takes no calls from this VM; zero when it does not state it.
}

// LoadCount is the load of an upstream, as stated by the upstream.
type LoadCount struct {
	Running  int // Calls.
	Waiting  int // Calls.
	Slots    int
	Slowness float64   // How long work takes, as a multiple of the usual time; 0 when the upstream does not state it.
	StatedAt time.Time // When the response with the load was read.
}

// Dialect translates between HTTP messages and calls. Implementations are safe
// for concurrent use and keep no state.
type Dialect interface {
	// DecodeCall reads the head of a request. It returns a *RefusalError with
	// status 400 when a field cannot be read.
	DecodeCall(r *http.Request, now time.Time) (Call, error)
	// ForwardHeader returns the header for an upstream: the forwardable fields of
	// the caller's header, without the key, and the fields of the dispatch.
	ForwardHeader(caller http.Header, d Dispatch, now time.Time) http.Header
	// DecodeResponse reads the head of an upstream's response.
	DecodeResponse(status int, header http.Header, now time.Time) ResponseHead
	// CopyResponseHeader copies the fields that may be forwarded to a caller.
	CopyResponseHeader(to, upstream http.Header)
	// EventID returns the id of one event of a stream; ok is false when it has none.
	EventID(event []byte) (id string, ok bool)
}
