package pipeline

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// refusal is an error answer of the entry itself.
type refusal struct {
	status int
	// code is the machine-readable kind of the refusal.
	code    string
	message string
	// field names the invalid input, if any.
	field      string
	retryAfter time.Duration
	// handOver adds the list of entries and closes the connection.
	handOver bool
	// unknown forces the outcome unknown, even if this entry sent nothing.
	unknown bool
	cause   error
}

// Error implements error.
func (r *refusal) Error() string {
	if r.cause != nil {
		return r.message + ": " + r.cause.Error()
	}
	return r.message
}

// Unwrap returns the cause.
func (r *refusal) Unwrap() error { return r.cause }

// errorBody is the body of a refusal: the OpenAI-compatible format with the
// request and the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
	// Entries lists the addresses to use when this entry hands its callers over.
	Entries *entriesBody `json:"entries,omitempty"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    string        `json:"code"`
	Param   string        `json:"param,omitempty"`
	Request api.RequestID `json:"request"`
	Outcome api.Outcome   `json:"outcome"`
}

// invalidField refuses a field of the input, naming its value and its bound.
func invalidField(field, value, bound string) *refusal {
	return &refusal{
		status:  fasthttp.StatusBadRequest,
		code:    "invalid_request",
		field:   field,
		message: field + " is " + value + ", must be " + bound,
	}
}

// unavailable refuses a call that may succeed later, for example for lack of
// capacity or of a work lease.
func unavailable(code, message string, cause error) *refusal {
	r := &refusal{
		status:     fasthttp.StatusServiceUnavailable,
		code:       code,
		message:    message,
		cause:      cause,
		retryAfter: time.Second,
	}
	var e *errs.Error
	if errors.As(cause, &e) && e.RetryAfterMillis > 0 {
		r.retryAfter = time.Duration(e.RetryAfterMillis) * time.Millisecond
	}
	return r
}

// refusalOf converts any error to a refusal.
func refusalOf(err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		return r
	}
	return &refusal{
		status:  fasthttp.StatusBadGateway,
		code:    "backend_failed",
		message: "the backend server did not answer",
		cause:   err,
	}
}

// refuse writes the refusal of a call.
func (s *Server) refuse(c *call, err error) {
	r := refusalOf(err)
	outcome := c.notRunOrUnknown()
	if r.unknown {
		outcome = api.OutcomeUnknown
	}
	c.outcome = outcome
	c.refusal = r.code
	s.writeRefusal(c.http, r, c.id, outcome)
}

// writeRefusal writes a refusal as JSON with the headers of every answer.
func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, r *refusal, id api.RequestID, outcome api.Outcome) {
	body := errorBody{Error: errorDetail{
		Message: r.message,
		Type:    errorType(r.status),
		Code:    r.code,
		Param:   r.field,
		Request: id,
		Outcome: outcome,
	}}
	ctx.Response.Reset()
	if r.handOver {
		list := s.entries(s.cfg.State.Snapshot())
		body.Entries = &list
		ctx.SetConnectionClose()
	}
	if r.retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(r.retryAfter))
	}
	writeJSON(ctx, r.status, body)
	writeOutcome(ctx, id, outcome)
}

// retryAfterSeconds rounds up to whole seconds, the unit of Retry-After.
func retryAfterSeconds(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

func errorType(status int) string {
	switch {
	case status == fasthttp.StatusUnauthorized:
		return "authentication_error"
	case status < fasthttp.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		data = []byte(`{"error":{"message":"encoding failed"}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// writeOutcome sets the headers that every answer carries.
func writeOutcome(ctx *fasthttp.RequestCtx, id api.RequestID, outcome api.Outcome) {
	ctx.Response.Header.Set(api.HeaderRequest, string(id))
	ctx.Response.Header.Set(api.HeaderOutcome, string(outcome))
}
