package kumquathitch

import "net/http"

// IsFinalStatus reports whether a status can be that of a final response in HTTP, from 200 to 599
// (RFC 9110, 15). Parsers accept other numbers of three digits, such as 000, and net/http panics
// when a handler writes one below 100.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}
