package peer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

var errRepeatedID = errors.New("id of a call in progress repeated")

// onCall starts the handler of a call, or refuses it when all workers are
// busy. It runs on the event loop and does not block.
func (l *link) onCall(payload []byte) {
	n := l.node
	select {
	case n.workers <- struct{}{}:
	default:
		n.counters.workersFull.Add(1)
		l.refuse(payload)
		return
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		defer func() { <-n.workers }()
		l.serve(payload)
	}()
}

// refuse answers a call with errs.Full without running it.
func (l *link) refuse(payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		l.close(err)
		return
	}
	if m.request == nil || m.request.Notif {
		return
	}
	l.answerError(m.request.ID, errs.New(errs.Full, "accept call", "", "all handlers are busy"))
}

// serve decodes one call, runs its handler and answers.
func (l *link) serve(payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		l.close(err)
		return
	}
	if m.request == nil {
		l.close(errors.Wrap(errMessage, "answer on an accepted link"))
		return
	}
	if m.request.Notif {
		l.serveNotification(m)
		return
	}
	if err = l.claim(m.request.ID); err != nil {
		l.onClaimError(m.request.ID, err)
		return
	}
	result, err := l.run(m)
	l.release(m.request.ID)
	if err != nil {
		l.answerError(m.request.ID, err)
		return
	}
	l.answer(m.request.ID, result)
}

func (l *link) serveNotification(m message) {
	if _, err := l.run(m); err != nil {
		_ = level.Debug(l.node.logger).Log("msg", "notification failed", "method", m.request.Method, "peer", l.remote, "err", err)
	}
}

// claim reserves an id while its call runs.
func (l *link) claim(id jsonrpc2.ID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.serving[id]; ok {
		return errRepeatedID
	}
	if len(l.serving) >= l.node.cfg.InFlight {
		return errInFlight
	}
	l.serving[id] = struct{}{}
	return nil
}

func (l *link) release(id jsonrpc2.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.serving, id)
}

// onClaimError closes the link on a repeated id, since an answer to it could
// be taken for the answer to the first call.
func (l *link) onClaimError(id jsonrpc2.ID, err error) {
	if errors.Is(err, errRepeatedID) {
		l.close(err)
		return
	}
	l.answerError(id, &errs.Error{Code: errs.Full, Step: "accept call", Err: err})
}

// run calls the handler of a request within the caller's timeout.
func (l *link) run(m message) (any, error) {
	if m.request.Method == string(methodPing) {
		return api.Empty{}, nil
	}
	if !l.node.open.Load() {
		return nil, errs.New(errs.Unavailable, "accept call", "", "process is starting")
	}
	h := l.node.handler(api.Method(m.request.Method))
	if h == nil {
		err := errors.Wrapf(errUnknownMethod, "%q", m.request.Method)
		return nil, &errs.Error{Code: errs.NotFound, Step: "find handler", Err: err}
	}
	timeout := m.timeout
	if timeout == 0 {
		timeout = l.node.cfg.CallTimeout
	}
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	var params json.RawMessage
	if m.request.Params != nil {
		params = *m.request.Params
	}
	result, err := h(ctx, params)
	if ctx.Err() != nil {
		err = cutShort(err)
	}
	return result, err
}

// cutShort gives the error of a handler whose context ended its code: the caller
// can't know how far it came, as when the link is lost. Other codes stay.
func cutShort(err error) error {
	ended := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if !ended || !errs.Is(err, errs.Internal) {
		return err
	}
	return &errs.Error{Code: errs.Timeout, Step: stepCall, Err: err}
}

// answer sends a result. A result over the frame limit becomes an error.
func (l *link) answer(id jsonrpc2.ID, result any) {
	frame, err := encodeResult(id, result)
	if err == nil && len(frame) > l.node.cfg.MaxFrame+frameHeader {
		err = errs.New(errs.Internal, "encode result", "", "result of %d bytes, limit %d", len(frame), l.node.cfg.MaxFrame)
	}
	if err != nil {
		l.answerError(id, err)
		return
	}
	l.reply(frame)
}

func (l *link) answerError(id jsonrpc2.ID, cause error) {
	frame, err := encodeError(id, cause)
	if err != nil {
		l.close(err)
		return
	}
	l.reply(frame)
}

func (l *link) reply(frame []byte) {
	if err := l.send(frame, nil); err != nil && !errors.Is(err, errLinkClosed) {
		_ = level.Warn(l.node.logger).Log("msg", "answer dropped", "peer", l.remote, "err", err)
	}
}
