package operator

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/errs"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail holds the code and the message of an error.
type ErrorDetail struct {
	Code    errs.Code `json:"code"`
	Message string    `json:"message"`
}

var statusByCode = map[errs.Code]int{
	errs.Invalid:     fasthttp.StatusBadRequest,
	errs.Denied:      fasthttp.StatusUnauthorized,
	errs.NotFound:    fasthttp.StatusNotFound,
	errs.Conflict:    fasthttp.StatusConflict,
	errs.Stale:       fasthttp.StatusConflict,
	errs.Full:        fasthttp.StatusServiceUnavailable,
	errs.Unavailable: fasthttp.StatusServiceUnavailable,
	errs.NotLeader:   fasthttp.StatusServiceUnavailable,
	errs.Timeout:     fasthttp.StatusGatewayTimeout,
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	code := errs.CodeOf(err)
	status, found := statusByCode[code]
	if !found {
		status = fasthttp.StatusInternalServerError
	}
	writeJSON(ctx, ErrorBody{Error: ErrorDetail{Code: code, Message: err.Error()}})
	ctx.SetStatusCode(status)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// decodeStrict decodes one JSON value and refuses unknown fields and further
// values.
func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &errs.Error{Code: errs.Invalid, Step: "decode body", Err: err}
	}
	if dec.More() {
		return errs.New(errs.Invalid, "decode body", "", "more than one JSON value")
	}
	return nil
}

// intArg parses a query argument as an integer from low to high; fallback is its
// value if it is absent.
func intArg(ctx *fasthttp.RequestCtx, name string, fallback, low, high int) (int, error) {
	raw := string(ctx.QueryArgs().Peek(name))
	if raw == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(raw)
	if err != nil || n < low || n > high {
		return 0, errs.New(errs.Invalid, "parse query", "", "%s: value %q, must be a whole number from %d to %d", name, raw, low, high)
	}
	return n, nil
}
