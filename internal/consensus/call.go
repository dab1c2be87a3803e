package consensus

import (
	"context"

	"github.com/crocusway/crocusway/internal/errs"
)

// submit queues f for the run goroutine.
func (s *Server) submit(ctx context.Context, step string, f func()) error {
	select {
	case <-s.done:
		return s.stoppedError(step)
	default:
	}
	select {
	case s.calls <- f:
		return nil
	case <-ctx.Done():
		return errs.New(errs.Unavailable, step, "", "not queued: %w", ctx.Err())
	default:
		return errs.New(errs.Full, step, "", "the call queue of the voter is full")
	}
}

func (s *Server) stoppedError(step string) error {
	if err := s.Err(); err != nil {
		return errs.New(errs.Unavailable, step, "", "the voter has stopped: %w", err)
	}
	return errs.New(errs.Unavailable, step, "", "the voter has stopped")
}

// withDefaultTimeout adds the proposal timeout to a context without a deadline.
func (s *Server) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, hasDeadline := ctx.Deadline(); hasDeadline {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, s.cfg.ProposalTimeout)
}

// call runs f on the run goroutine and waits until f, or a later event, sends
// the outcome. The channel takes one value without blocking.
func (s *Server) call(ctx context.Context, step string, f func(done chan<- error)) error {
	ctx, cancel := s.withDefaultTimeout(ctx)
	defer cancel()
	done := make(chan error, 1)
	if err := s.submit(ctx, step, func() { f(done) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errs.New(errs.Timeout, step, "", "not finished: %w", ctx.Err())
	case <-s.done:
		return s.stoppedError(step)
	}
}
