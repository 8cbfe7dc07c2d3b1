package kumquathitch

import (
	"fmt"
	"strings"
)

// Problem describes one invalid input value.
type Problem struct {
	Field   string `json:"field"`   // Path of the field or name of the flag, such as "accounts[2].rate" or "--listen".
	Value   string `json:"value"`   // The given value.
	Allowed string `json:"allowed"` // Description of the allowed values.
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: invalid value %q: want %s", p.Field, p.Value, p.Allowed)
}

// Problems is a list of invalid input values.
type Problems []Problem

// Add appends a problem. The value is formatted with fmt.Sprint.
func (p *Problems) Add(field string, value any, allowed string) {
	*p = append(*p, Problem{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
}

// Err returns a *ValidationError that holds all problems, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return &ValidationError{Problems: p}
}

// ValidationError reports every problem found in one input.
type ValidationError struct {
	Problems Problems
}

// Error lists all problems, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
