package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"

	"kumquathitch.example/kumquathitch"
)

// serveService relays a call of a plain service.
func (s *Server) serveService(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error {
	tokens := float64(x.route.RequestTokens)
	if !x.route.Open {
		charge, err := s.Limits.Admit(ctx, x.caller.Account, tokens)
		if err != nil {
			return err
		}
		defer s.Limits.Settle(charge, tokens)
	}
	deadline, _ := ctx.Deadline()
	answer, err := s.attemptService(ctx, r, x, kumquathitch.Demand{
		Account:     x.caller.Account,
		Service:     x.route.Service,
		Class:       x.route.Class,
		Tokens:      x.route.RequestTokens,
		Fingerprint: fingerprint(x.caller.Account, x.body),
		Deadline:    deadline,
	})
	if err != nil {
		return withCause(ctx, err)
	}
	w.Header().Set("Content-Type", answer.contentType)
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // A caller that has gone away needs no answer.
	return nil
}

// serviceAnswer is a whole answer of a plain service.
type serviceAnswer struct {
	status      int
	contentType string
	body        []byte
}

// attemptService tries upstreams. A non-idempotent call is tried again only
// when its connection could not be opened, since then no byte of it has left.
func (s *Server) attemptService(ctx context.Context, r *http.Request, x *exchange, demand kumquathitch.Demand) (serviceAnswer, error) {
	var last error
	for range maxAttempts {
		choice, err := s.Upstreams.Pick(demand)
		if err != nil {
			if last != nil {
				return serviceAnswer{}, last
			}
			return serviceAnswer{}, err
		}
		answer, result, err := s.sendService(ctx, r, x, choice)
		s.Upstreams.Done(choice, result)
		if err == nil {
			return answer, nil
		}
		last = err
		if ctx.Err() != nil || (!x.route.Idempotent && asRefusal(err).Run != kumquathitch.RunNot) {
			break
		}
		demand.Exclude = append(demand.Exclude, choice.Upstream.Name)
	}
	return serviceAnswer{}, last
}

func (s *Server) sendService(ctx context.Context, r *http.Request, x *exchange, choice kumquathitch.Choice,
) (serviceAnswer, kumquathitch.Result, error) {
	ctx, span := s.Tracing.Tracer.Start(ctx, "upstream "+choice.Upstream.Name)
	defer span.End()
	url := "http://" + choice.Upstream.Address + r.URL.EscapedPath()
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	request, err := s.upstreamRequest(ctx, r.Method, url, r.Header, x.body)
	if err != nil {
		return serviceAnswer{}, kumquathitch.Result{Failed: true}, kumquathitch.NotRun(400, "invalid-path", "The path cannot be sent on.")
	}
	client := s.client
	if !x.route.Idempotent {
		client = s.oneShot
	}
	response, err := client.Do(request)
	if err != nil {
		return serviceAnswer{}, failure(ctx, err), serviceFailure(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readWhole(response.Body)
	if err != nil {
		return serviceAnswer{}, failure(ctx, err), kumquathitch.Unknown(502, "upstream-failed", "The upstream's answer broke off.")
	}
	answer := serviceAnswer{status: response.StatusCode, contentType: response.Header.Get("Content-Type"), body: body}
	return answer, kumquathitch.Result{First: s.Clock.Now()}, nil
}

// serviceFailure says whether a failed call may have run: only a connection
// that could not be opened proves that it did not.
func serviceFailure(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return kumquathitch.NotRun(503, "upstream-unreachable", "The upstream could not be reached.")
	}
	return kumquathitch.Unknown(502, "upstream-failed", "The upstream failed; the call may have run.")
}
