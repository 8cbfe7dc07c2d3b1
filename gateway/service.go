package gateway

import (
	"context"
	"errors"
	"net/http"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// serveService relays a call of a plain service.
func (s *Server) serveService(ctx context.Context, w http.ResponseWriter, r *http.Request, info *requestInfo) error {
	key, err := idempotencyKey(r.Header, info.route)
	if err != nil {
		return err
	}
	charge, err := s.admitService(ctx, info)
	if err != nil {
		return err
	}
	usedTokens := 0.0
	defer func() { s.settleService(info, charge, usedTokens) }()
	call := newServiceCall(ctx, r, info)
	if key != "" {
		claim := kumquathitch.NewClaim(info.caller.Account, key, call.criteria.Fingerprint, call.criteria.Deadline)
		stored, err := s.Outcomes.Claim(ctx, claim)
		if err != nil {
			return err
		}
		if stored != nil {
			writeStoredOutcome(w, stored)
			return nil
		}
		call.claim = &claim
	}
	usedTokens = float64(info.route.RequestTokens)
	return s.runService(ctx, w, call)
}

func (s *Server) admitService(ctx context.Context, info *requestInfo) (kumquathitch.Charge, error) {
	if info.route.Open {
		return kumquathitch.Charge{}, nil
	}
	return s.Limiter.Admit(ctx, info.caller.Account, float64(info.route.RequestTokens))
}

func (s *Server) settleService(info *requestInfo, charge kumquathitch.Charge, usedTokens float64) {
	if !info.route.Open {
		s.Limiter.Settle(charge, usedTokens)
	}
}

func newServiceCall(ctx context.Context, r *http.Request, info *requestInfo) *serviceCall {
	deadline, _ := ctx.Deadline()
	return &serviceCall{request: r, info: info, criteria: kumquathitch.UpstreamCriteria{
		Account:     info.caller.Account,
		Service:     info.route.Service,
		Class:       info.route.Class,
		Tokens:      info.route.RequestTokens,
		Fingerprint: serviceFingerprint(info.caller.Account, r, info.body),
		Deadline:    deadline,
	}}
}

// serviceResult is the response or the error of a call of a plain service.
type serviceResult struct {
	response serviceResponse
	err      error
}

// runService runs a call and writes its response. A claimed call continues
// after the caller has gone away or its key has been withdrawn, because its
// outcome must be recorded.
func (s *Server) runService(ctx context.Context, w http.ResponseWriter, call *serviceCall) error {
	if call.claim == nil {
		response, err := s.tryUpstreams(ctx, call)
		if err != nil {
			return withCause(ctx, err)
		}
		defer response.held.Release()
		writeServiceResponse(w, response)
		return nil
	}
	if ctx.Err() != nil { // The caller went away or lost its key while the claim was recorded.
		s.Outcomes.Withdraw(*call.claim)
		return withCause(ctx, kumquathitch.NewRefusal(503, "request-ended", "The request ended before it was sent to an upstream."))
	}
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.criteria.Deadline)
	defer cancel()
	results := make(chan serviceResult, 1)
	go func() {
		response, err := s.tryUpstreams(runCtx, call)
		s.recordOutcome(call, response, err)
		results <- serviceResult{response, err}
	}()
	select {
	case result := <-results:
		if result.err != nil {
			return result.err
		}
		defer result.response.held.Release()
		writeServiceResponse(w, result.response)
		return nil
	case <-ctx.Done():
	}
	if !errors.Is(context.Cause(ctx), context.Canceled) { // Canceled means that the caller has gone away.
		s.writeError(w, call.info, withCause(ctx, kumquathitch.NewFailure(504, "deadline-exceeded", "The upstream did not answer in time.")))
		_ = http.NewResponseController(w).Flush() // Not every ResponseWriter can flush.
	}
	result := <-results // A graceful shutdown waits for the handler and must also wait for the call.
	result.response.held.Release()
	return nil
}

// serviceResponse is a complete response of a plain service.
type serviceResponse struct {
	status      int
	contentType string
	body        []byte
	held        intake.HeldBody // Holds body, unless the response was stored before.
}

// tryUpstreams sends a call to upstreams until one responds. A non-idempotent
// call is retried only if its connection could not be opened, since then no
// byte of it was sent.
func (s *Server) tryUpstreams(ctx context.Context, call *serviceCall) (serviceResponse, error) {
	criteria := call.criteria
	var lastErr error
	for range maxAttempts {
		choice, err := s.Picker.Pick(criteria)
		if err != nil {
			if lastErr == nil { // Otherwise the earlier error states whether the call may have run.
				lastErr = err
			}
			break
		}
		criteria.Exclude = append(criteria.Exclude, choice.Upstream.Name)
		response, result, err := s.sendService(ctx, call.request, call.info, choice)
		result.Unsent = err != nil && asRefusal(err).Execution == kumquathitch.NotExecuted
		s.Picker.Done(choice, result)
		if err == nil {
			return response, nil
		}
		lastErr = lessCertainError(lastErr, err)
		if ctx.Err() != nil || (!call.info.route.Idempotent && asRefusal(err).Execution != kumquathitch.NotExecuted) {
			break
		}
	}
	return serviceResponse{}, lastErr
}

// lessCertainError returns the error to report for several attempts: earlier if
// the call may have run in an earlier attempt, else err.
func lessCertainError(earlier, err error) error {
	if earlier != nil && asRefusal(earlier).Execution == kumquathitch.ExecutionUnknown {
		return earlier
	}
	return err
}

func (s *Server) sendService(ctx context.Context, r *http.Request, info *requestInfo, choice kumquathitch.UpstreamChoice,
) (serviceResponse, kumquathitch.UpstreamResult, error) {
	ctx, span := s.Tracing.Tracer.Start(ctx, "upstream "+choice.Upstream.Name)
	defer span.End()
	url := "http://" + choice.Upstream.Address + r.URL.EscapedPath()
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	request, err := s.upstreamRequest(ctx, r.Method, url, r.Header, info.body)
	if err != nil {
		return serviceResponse{}, kumquathitch.UpstreamResult{Failed: true}, kumquathitch.NewRefusal(400, "invalid-path", "The path cannot be forwarded.")
	}
	client := s.client
	if !info.route.Idempotent {
		client = s.noReuseClient
	}
	response, err := do(client, request)
	if err != nil {
		return serviceResponse{}, transportFailure(ctx, err), serviceError(err)
	}
	defer func() { _ = response.Body.Close() }()
	var held intake.HeldBody
	err = s.readFullBody(response, &held)
	if errors.Is(err, errResponseTooLarge) {
		return serviceResponse{}, kumquathitch.UpstreamResult{Failed: true}, kumquathitch.NewFailure(502, "answer-too-large", "The upstream's response is larger than 16 MiB.")
	}
	if err != nil {
		return serviceResponse{}, bodyFailure(ctx, err), kumquathitch.NewFailure(502, "upstream-failed", "The upstream's response broke off.")
	}
	fullResponse := serviceResponse{status: response.StatusCode, contentType: response.Header.Get("Content-Type"), body: held.Data, held: held}
	now := s.Clock.Now()
	return fullResponse, kumquathitch.UpstreamResult{FirstByte: now, PausedUntil: pauseEnd(response, now)}, nil
}

// serviceError returns the refusal for a failed call. Only a connection that
// could not be opened proves that the call did not run.
func serviceError(err error) error {
	if executionAfter(err) == kumquathitch.NotExecuted {
		return kumquathitch.NewRefusal(503, "upstream-unreachable", "The upstream could not be reached.")
	}
	return kumquathitch.NewFailure(502, "upstream-failed", "The upstream failed; the call may have run.")
}
