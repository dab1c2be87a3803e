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

// outcome ends a call: an answer or an error.
type outcome struct {
	response *jsonrpc2.Response
	err      error
}

// call waits for the answer with its id.
type call struct {
	address string
	written atomic.Bool
	done    chan outcome
}

// finish ends the call; only the first outcome counts.
func (c *call) finish(o outcome) {
	select {
	case c.done <- o:
	default:
	}
}

// lostError tells whether the lost call was sent: only an unwritten one is
// surely not.
func (c *call) lostError() error {
	if c.written.Load() {
		return errs.New(errs.Timeout, stepCall, c.address, "link lost before the answer")
	}
	return notSent(c.address, errLinkClosed)
}

// notSent is the error of a call of which no byte was sent.
func notSent(address string, cause error) error {
	return &errs.Error{Code: errs.Unavailable, Step: stepCall, Peer: address, Err: cause}
}

// sendError maps a refusal to queue a frame; in each case it was not sent.
func sendError(address string, cause error) error {
	if errors.Is(cause, errQueueFull) || errors.Is(cause, errInFlight) {
		return &errs.Error{Code: errs.Full, Step: stepCall, Peer: address, Err: cause}
	}
	return notSent(address, cause)
}

// begin registers a call and returns its id.
func (l *link) begin() (uint64, *call, error) {
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

// take removes a pending call, or returns nil.
func (l *link) take(id uint64) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pending[id]
	delete(l.pending, id)
	return c
}

// call sends one request and waits for its answer.
func (l *link) call(ctx context.Context, method api.Method, params []byte) (*jsonrpc2.Response, error) {
	id, c, err := l.begin()
	if err != nil {
		return nil, sendError(l.remote, err)
	}
	defer l.take(id)
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

// onWritten records the fate of the request frame.
func (c *call) onWritten(err error) {
	if err != nil {
		c.finish(outcome{err: notSent(c.address, err)})
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

// onAnswer hands an answer to its call; answers come in any order. It returns
// an error for a message that no acceptor sends.
func (l *link) onAnswer(payload []byte) error {
	m, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	if m.response == nil {
		return errors.Wrap(errMessage, "call on a dialed link")
	}
	c := l.take(m.response.ID.Num)
	if c == nil {
		l.node.counters.lateAnswers.Add(1)
		return nil
	}
	c.finish(outcome{response: m.response})
	return nil
}

// ping sends a keep-alive call; its answer only shows that the peer lives.
func (l *link) ping() {
	id, c, err := l.begin()
	if err != nil {
		return
	}
	frame, err := encodeRequest(id, false, methodPing, nil, 0)
	if err == nil {
		err = l.send(frame, c.onWritten)
	}
	if err != nil {
		l.take(id)
	}
}

// decodeResult decodes an answer into result, which may be nil.
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
