package peer

import (
	"context"
	"encoding/json"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

var errDuplicateID = errors.New("duplicate id of a call in progress")

// onCall starts the handler of a call, or rejects the call if all workers are
// busy. It runs on the event loop and does not block.
func (l *link) onCall(payload []byte) {
	n := l.node
	select {
	case n.workers <- struct{}{}:
	default:
		n.counters.workersFull.Add(1)
		l.rejectCall(payload)
		return
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		defer func() { <-n.workers }()
		l.serve(payload)
	}()
}

// rejectCall responds to a call with errs.Full without running it.
func (l *link) rejectCall(payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		l.close(err)
		return
	}
	if m.request == nil || m.request.Notif {
		return
	}
	l.respondError(m.request.ID, errs.New(errs.Full, "accept call", "", "all workers are busy"))
}

// serve decodes one call, runs its handler and sends the response.
func (l *link) serve(payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		l.close(err)
		return
	}
	if m.request == nil {
		l.close(errors.Wrap(errMalformedMessage, "response on an accepted link"))
		return
	}
	if m.request.Notif {
		l.serveNotification(m)
		return
	}
	if err = l.reserveID(m.request.ID); err != nil {
		l.onReserveError(m.request.ID, err)
		return
	}
	result, err := l.run(m)
	l.releaseID(m.request.ID)
	if err != nil {
		l.respondError(m.request.ID, err)
		return
	}
	l.respond(m.request.ID, result)
}

func (l *link) serveNotification(m message) {
	if _, err := l.run(m); err != nil {
		_ = level.Debug(l.node.logger).Log("msg", "notification failed", "method", m.request.Method, "peer", l.remote, "err", err)
	}
}

// reserveID reserves the id of a call until releaseID. It fails on a duplicate id or
// too many calls in flight.
func (l *link) reserveID(id jsonrpc2.ID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.serving[id]; ok {
		return errDuplicateID
	}
	if len(l.serving) >= l.node.cfg.InFlight {
		return errInFlight
	}
	l.serving[id] = struct{}{}
	return nil
}

func (l *link) releaseID(id jsonrpc2.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.serving, id)
}

// onReserveError closes the link on a duplicate id, since the dialer could take a
// response to it for the response to the first call. Other errors are sent.
func (l *link) onReserveError(id jsonrpc2.ID, err error) {
	if errors.Is(err, errDuplicateID) {
		l.close(err)
		return
	}
	l.respondError(id, &errs.Error{Code: errs.Full, Step: "accept call", Err: err})
}

// run calls the handler of a request with the timeout of the caller.
func (l *link) run(m message) (any, error) {
	if m.request.Method == string(methodPing) {
		return api.Empty{}, nil
	}
	if !l.node.accepting.Load() {
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
	result, err := l.runHandler(ctx, h, m.request.Method, params)
	if ctx.Err() != nil {
		err = mapContextError(err)
	}
	return result, err
}

// runHandler turns a panic of a handler into an error, so that one call can't end the
// process.
func (l *link) runHandler(ctx context.Context, h Handler, method string, params json.RawMessage) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			_ = level.Error(l.node.logger).Log("msg", "Panic in handler", "method", method, "peer", l.remote, "cause", cause, "stack", string(debug.Stack()))
			result, err = nil, errs.New(errs.Internal, stepCall, "", "the handler of %s failed", method)
		}
	}()
	return h(ctx, params)
}

// mapContextError turns an uncoded context error of a handler into errs.Timeout: as
// with a lost link, the outcome of the call is unknown. Other codes are kept.
func mapContextError(err error) error {
	ended := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if !ended || !errs.Is(err, errs.Internal) {
		return err
	}
	return &errs.Error{Code: errs.Timeout, Step: stepCall, Err: err}
}

// respond sends a result, or an error if the result exceeds the frame limit.
func (l *link) respond(id jsonrpc2.ID, result any) {
	frame, err := encodeResult(id, result)
	if err == nil && len(frame) > l.node.cfg.MaxFrame+frameHeader {
		err = errs.New(errs.Internal, "encode result", "", "result of %d bytes, limit %d", len(frame), l.node.cfg.MaxFrame)
	}
	if err != nil {
		l.respondError(id, err)
		return
	}
	l.sendResponse(frame)
}

func (l *link) respondError(id jsonrpc2.ID, cause error) {
	frame, err := encodeError(id, cause)
	if err != nil {
		l.close(err)
		return
	}
	l.sendResponse(frame)
}

func (l *link) sendResponse(frame []byte) {
	if err := l.send(frame, nil); err != nil && !errors.Is(err, errLinkClosed) {
		_ = level.Warn(l.node.logger).Log("msg", "response dropped", "peer", l.remote, "err", err)
	}
}
