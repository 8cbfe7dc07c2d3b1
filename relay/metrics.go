package relay

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts calls, sends and responses. Routes and instances are not labels,
// so that the number of time series is bounded.
type Metrics struct {
	set           *metrics.Set
	Calls         *metrics.Counter
	Dials         *metrics.Counter
	Resends       *metrics.Counter
	Resumes       *metrics.Counter
	CallersLeft   *metrics.Counter // Callers that disconnected before their response.
	Withdrawals   *metrics.Counter // Responses that said that an instance leaves or wants a pause.
	FirstByteTime *metrics.Histogram
	ResponseTime  *metrics.Histogram
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:           set,
		Calls:         set.NewCounter("kumquathitch_calls_total"),
		Dials:         set.NewCounter("kumquathitch_instance_connections_opened_total"),
		Resends:       set.NewCounter("kumquathitch_resends_total"),
		Resumes:       set.NewCounter("kumquathitch_stream_resumes_total"),
		CallersLeft:   set.NewCounter("kumquathitch_callers_left_total"),
		Withdrawals:   set.NewCounter("kumquathitch_instance_withdrawals_total"),
		FirstByteTime: set.NewHistogram("kumquathitch_first_byte_seconds"),
		ResponseTime:  set.NewHistogram("kumquathitch_answer_seconds"),
	}
}

// countResponse counts a status sent to a caller. The code is empty unless the call was refused.
func (m *Metrics) countResponse(status int, code string) {
	m.set.GetOrCreateCounter(`kumquathitch_answers_total{status="` + strconv.Itoa(status) + `",code="` + code + `"}`).Inc()
}

// countSend counts a send to an instance by its outcome.
func (m *Metrics) countSend(outcome string) {
	m.set.GetOrCreateCounter(`kumquathitch_sends_total{outcome="` + outcome + `"}`).Inc()
}
