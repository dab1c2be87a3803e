package peer

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

const stepCall = "call"

// outcome is the result of a call: a response or an error.
type outcome struct {
	response *jsonrpc2.Response
	err      error
}

// call is a pending call that waits for its response.
type call struct {
	address string
	written atomic.Bool
	done    chan outcome
}

// complete completes the call. Only the first outcome takes effect.
func (c *call) complete(o outcome) {
	select {
	case c.done <- o:
	default:
	}
}

// disconnectError returns the error of a call whose link was lost: errs.Unavailable
// if its frame was never written, else errs.Timeout, since its outcome is unknown.
func (c *call) disconnectError() error {
	if c.written.Load() {
		return errs.New(errs.Timeout, stepCall, c.address, "link lost before the response")
	}
	return notSentError(c.address, errLinkClosed)
}

// notSentError returns the error of a call of which no byte was sent.
func notSentError(address string, cause error) error {
	return &errs.Error{Code: errs.Unavailable, Step: stepCall, Peer: address, Err: cause}
}

// sendError maps an error from queueing a frame, which was not sent in any case.
func sendError(address string, cause error) error {
	if errors.Is(cause, errQueueFull) || errors.Is(cause, errInFlight) {
		return &errs.Error{Code: errs.Full, Step: stepCall, Peer: address, Err: cause}
	}
	return notSentError(address, cause)
}

// registerCall registers a call and returns its id.
func (l *link) registerCall() (uint64, *call, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, nil, errLinkClosed
	}
	if len(l.pending) >= l.node.cfg.InFlight {
		return 0, nil, errInFlight
	}
	l.lastID++
	c := &call{address: l.remote, done: make(chan outcome, 1)}
	l.pending[l.lastID] = c
	return l.lastID, c, nil
}

// removeCall removes and returns a pending call, or returns nil.
func (l *link) removeCall(id uint64) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pending[id]
	delete(l.pending, id)
	return c
}

// call sends one request and waits for its response.
func (l *link) call(ctx context.Context, method api.Method, params []byte) (*jsonrpc2.Response, error) {
	id, c, err := l.registerCall()
	if err != nil {
		return nil, sendError(l.remote, err)
	}
	defer l.removeCall(id)
	frame, err := encodeRequest(id, false, method, params, timeLeft(ctx))
	if err != nil {
		return nil, errs.Wrap(err, stepCall, l.remote)
	}
	if err = l.send(frame, c.onWritten); err != nil {
		return nil, sendError(l.remote, err)
	}
	select {
	case o := <-c.done:
		return o.response, o.err
	case <-ctx.Done():
		return nil, &errs.Error{Code: errs.Timeout, Step: stepCall, Peer: l.remote, Err: ctx.Err()}
	}
}

// onWritten records whether the request frame was written.
func (c *call) onWritten(err error) {
	if err != nil {
		c.complete(outcome{err: notSentError(c.address, err)})
		return
	}
	c.written.Store(true)
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}

// onResponse completes the call that a response belongs to. It returns an error for
// a message that an acceptor must not send.
func (l *link) onResponse(payload []byte) error {
	m, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	if m.response == nil {
		return errors.Wrap(errMalformedMessage, "request on a dialed link")
	}
	c := l.removeCall(m.response.ID.Num)
	if c == nil {
		l.node.counters.lateAnswers.Add(1)
		return nil
	}
	c.complete(outcome{response: m.response})
	return nil
}

// ping sends a keep-alive call. Its response only shows that the peer is alive.
func (l *link) ping() {
	id, c, err := l.registerCall()
	if err != nil {
		return
	}
	frame, err := encodeRequest(id, false, methodPing, nil, 0)
	if err == nil {
		err = l.send(frame, c.onWritten)
	}
	if err != nil {
		l.removeCall(id)
	}
}

// decodeResult decodes a response into result, which may be nil.
func decodeResult(resp *jsonrpc2.Response, address string, result any) error {
	if resp.Error != nil {
		return decodeError(resp.Error, address)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(*resp.Result, result); err != nil {
		return &errs.Error{Code: errs.Internal, Step: "decode result", Peer: address, Err: err}
	}
	return nil
}
