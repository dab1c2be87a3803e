package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/crocusway/crocusway/internal/api"
)

// protocolName is the value of the "jsonrpc" member.
const protocolName = "2.0"

var errMalformedMessage = errors.New("malformed message")

// meta is the "meta" member of a request.
type meta struct {
	// TimeoutMillis is the remaining time of the caller; 0 means the default.
	TimeoutMillis int64 `json:"timeout_millis,omitempty"`
}

// envelope holds the members of a JSON-RPC 2.0 request or response.
type envelope struct {
	JSONRPC string          `json:"jsonrpc"`
	ID      *jsonrpc2.ID    `json:"id"`
	Method  *string         `json:"method"`
	Params  json.RawMessage `json:"params"`
	Meta    *meta           `json:"meta"`
	Result  json.RawMessage `json:"result"`
	Error   *jsonrpc2.Error `json:"error"`
}

// message is a decoded message: exactly one of request and response is set.
type message struct {
	request  *jsonrpc2.Request
	response *jsonrpc2.Response
	// timeout is the remaining time of the caller of the request, 0 if not given.
	timeout time.Duration
}

// decodeMessage decodes one payload. It rejects unknown members, trailing bytes and
// messages that mix members of requests and responses.
func decodeMessage(payload []byte) (message, error) {
	var env envelope
	dec := json.NewDecoder(bytes.NewReader(payload))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&env); err != nil {
		return message{}, errors.CombineErrors(errMalformedMessage, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return message{}, errors.Wrap(errMalformedMessage, "trailing bytes")
	}
	if env.JSONRPC != protocolName {
		return message{}, errors.Wrapf(errMalformedMessage, "jsonrpc is %q", env.JSONRPC)
	}
	if env.Method != nil {
		return env.toRequest()
	}
	return env.toResponse()
}

func (e *envelope) toRequest() (message, error) {
	if *e.Method == "" || e.Result != nil || e.Error != nil {
		return message{}, errors.Wrap(errMalformedMessage, "not a request")
	}
	req := &jsonrpc2.Request{Method: *e.Method, Params: optional(e.Params), Notif: e.ID == nil}
	if e.ID != nil {
		req.ID = *e.ID
	}
	m := message{request: req}
	if e.Meta != nil && e.Meta.TimeoutMillis > 0 {
		m.timeout = time.Duration(min(e.Meta.TimeoutMillis, maxTimeoutMillis)) * time.Millisecond
	}
	return m, nil
}

// maxTimeoutMillis is the upper bound of the timeout of a request.
const maxTimeoutMillis = int64(time.Hour / time.Millisecond)

func (e *envelope) toResponse() (message, error) {
	if e.ID == nil || e.Params != nil || e.Meta != nil {
		return message{}, errors.Wrap(errMalformedMessage, "not a response")
	}
	if (e.Result == nil) == (e.Error == nil) {
		return message{}, errors.Wrap(errMalformedMessage, "want either a result or an error")
	}
	return message{response: &jsonrpc2.Response{ID: *e.ID, Result: optional(e.Result), Error: e.Error}}, nil
}

// optional returns a pointer to raw, or nil for an absent member.
func optional(raw json.RawMessage) *json.RawMessage {
	if raw == nil {
		return nil
	}
	return &raw
}

// encodeRequest returns the frame of a request, without an id if notif is set. params
// are JSON, which the library would validate and copy twice.
func encodeRequest(id uint64, notif bool, method api.Method, params []byte, timeout time.Duration) ([]byte, error) {
	head := requestHead{JSONRPC: protocolName, Method: string(method)}
	if !notif {
		head.ID = &jsonrpc2.ID{Num: id}
	}
	if timeout > 0 {
		head.Meta = &meta{TimeoutMillis: max(int64(timeout/time.Millisecond), 1)}
	}
	payload, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	frame := make([]byte, frameHeader, frameHeader+len(payload)+len(paramsMember)+len(params))
	frame = append(frame, payload...)
	if len(params) > 0 {
		frame = append(frame[:len(frame)-1], paramsMember...)
		frame = append(frame, params...)
		frame = append(frame, '}')
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeader))
	return frame, nil
}

// requestHead holds the members of a request but its params.
type requestHead struct {
	JSONRPC string       `json:"jsonrpc"`
	ID      *jsonrpc2.ID `json:"id,omitempty"`
	Method  string       `json:"method"`
	Meta    *meta        `json:"meta,omitempty"`
}

const paramsMember = `,"params":`

// Encoded is a result that is already JSON. It is sent unchanged, so that a result
// for many peers is encoded only once.
type Encoded []byte

// encodeResult returns the frame of a successful response.
func encodeResult(id jsonrpc2.ID, result any) ([]byte, error) {
	if raw, ok := result.(Encoded); ok {
		return encodeRaw(id, raw)
	}
	resp := jsonrpc2.Response{ID: id}
	if err := resp.SetResult(result); err != nil {
		return nil, errors.Wrap(err, "encode result")
	}
	return encodeFrame(resp)
}

// encodeRaw returns the frame of a response with an encoded result. The library
// would validate and copy the result twice.
func encodeRaw(id jsonrpc2.ID, result Encoded) ([]byte, error) {
	number, err := json.Marshal(id)
	if err != nil {
		return nil, errors.Wrap(err, "encode id")
	}
	payload := make([]byte, 0, len(number)+len(result)+envelopeBytes)
	payload = append(payload, `{"id":`...)
	payload = append(payload, number...)
	payload = append(payload, `,"result":`...)
	payload = append(payload, result...)
	payload = append(payload, `,"jsonrpc":"2.0"}`...)
	return appendFrame(make([]byte, 0, frameHeader+len(payload)), payload), nil
}

func encodeFrame(m any) ([]byte, error) {
	payload, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return appendFrame(make([]byte, 0, frameHeader+len(payload)), payload), nil
}
