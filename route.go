package kumquathitch

import (
	"slices"
	"strings"
)

const allowedClasses = "interactive, standard or batch"

// Route maps a method and path to models or to a plain service.
type Route struct {
	Method                string `json:"method"`
	Path                  string `json:"path"`              // A chi pattern, such as /orders/{id}.
	Service               string `json:"service,omitempty"` // Empty for chat completions.
	Open                  bool   `json:"open,omitempty"`    // Callers need no API key.
	Idempotent            bool   `json:"idempotent,omitempty"`
	RequireIdempotencyKey bool   `json:"require-idempotency-key,omitempty"`
	Class                 string `json:"class"`          // Urgency class: "interactive", "standard" or "batch".
	FirstTokenMS          int    `json:"first-token-ms"` // Target for the first byte of the response, milliseconds.
	RequestTokens         int64  `json:"request-tokens"` // Tokens charged for one call of a service.
	TimeoutMS             int    `json:"timeout-ms"`     // Limit for the whole response, milliseconds.
}

// Routes is a list of routes.
type Routes []Route

// SetDefaults fills empty fields.
func (r *Route) SetDefaults() {
	if r.Method == "" {
		r.Method = "POST"
	}
	if r.Class == "" {
		r.Class = "standard"
	}
	if r.FirstTokenMS == 0 {
		r.FirstTokenMS = 330
	}
	if r.TimeoutMS == 0 {
		r.TimeoutMS = 120_000
	}
	if r.Service != "" && r.RequestTokens == 0 {
		r.RequestTokens = 1
	}
}

// Validate appends the route's problems to problems; field is the path of the route.
func (r *Route) Validate(field string, problems *Problems) {
	if !slices.Contains([]string{"GET", "POST", "PUT", "PATCH", "DELETE"}, r.Method) {
		problems.Add(field+".method", r.Method, "GET, POST, PUT, PATCH or DELETE")
	}
	if !strings.HasPrefix(r.Path, "/") || strings.HasPrefix(r.Path, "/-/") {
		problems.Add(field+".path", r.Path, "a path that starts with / and not with /-/, which is reserved")
	}
	if !validClass(r.Class) {
		problems.Add(field+".class", r.Class, allowedClasses)
	}
	if r.FirstTokenMS <= 0 || r.TimeoutMS < r.FirstTokenMS {
		problems.Add(field+".timeout-ms", r.TimeoutMS, "milliseconds, at least first-token-ms, both above 0")
	}
	if r.RequireIdempotencyKey && r.Idempotent {
		problems.Add(field+".require-idempotency-key", true, "false on an idempotent route")
	}
}

func validClass(class string) bool {
	return slices.Contains([]string{"interactive", "standard", "batch"}, class)
}
