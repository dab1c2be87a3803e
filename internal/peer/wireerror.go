package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/crocusway/crocusway/internal/errs"
)

// errorData is the "data" member of an error response.
type errorData struct {
	Code             errs.Code `json:"code"`
	Step             string    `json:"step"`
	Detail           string    `json:"detail,omitempty"`
	RetryAfterMillis int64     `json:"retry_after_millis,omitempty"`
}

// applicationError is the JSON-RPC code of errors whose code is in the data member.
const applicationError = -32000

var errUnknownMethod = errors.New("unknown method")

// rpcCode returns the JSON-RPC code of an error.
func rpcCode(err error) int64 {
	if errors.Is(err, errUnknownMethod) {
		return jsonrpc2.CodeMethodNotFound
	}
	switch errs.CodeOf(err) {
	case errs.Invalid:
		return jsonrpc2.CodeInvalidParams
	case errs.Internal:
		return jsonrpc2.CodeInternalError
	default:
		return applicationError
	}
}

// encodeError returns the frame of an error response.
func encodeError(id jsonrpc2.ID, err error) ([]byte, error) {
	data := errorData{Code: errs.CodeOf(err)}
	text := err.Error()
	var typed *errs.Error
	if errors.As(err, &typed) {
		data.Step = typed.Step
		data.Detail = typed.Detail
		data.RetryAfterMillis = typed.RetryAfterMillis
		text = causeText(typed)
	}
	rpcErr := &jsonrpc2.Error{Code: rpcCode(err), Message: text}
	rpcErr.SetError(data)
	return encodeFrame(jsonrpc2.Response{ID: id, Error: rpcErr})
}

// causeText returns the text of e without its step, which is a separate field on
// the wire.
func causeText(e *errs.Error) string {
	if e.Err == nil {
		return string(e.Code)
	}
	if e.Peer == "" {
		return e.Err.Error()
	}
	return "peer " + e.Peer + ": " + e.Err.Error()
}

// decodeError maps an error response from the peer at address to a typed error.
func decodeError(e *jsonrpc2.Error, address string) *errs.Error {
	data := errorData{Code: errs.Internal}
	if e.Data != nil {
		if err := json.Unmarshal(*e.Data, &data); err != nil {
			data = errorData{Code: errs.Internal}
		}
	}
	if data.Code == "" {
		data.Code = errs.Internal
	}
	if data.Step == "" {
		data.Step = "call"
	}
	return &errs.Error{
		Code:             data.Code,
		Step:             data.Step,
		Peer:             address,
		Detail:           data.Detail,
		RetryAfterMillis: data.RetryAfterMillis,
		Err:              errors.Newf("%s", e.Message),
	}
}
