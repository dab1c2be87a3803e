package backend

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/errs"
)

// Errors of a backend server that violates the contract. Test with errors.Is.
var (
	// ErrWrongResponse marks a response or event that belongs to another request.
	ErrWrongResponse = errors.New("response to another request")
	// ErrMalformed marks a response that violates the contract.
	ErrMalformed = errors.New("malformed response")
	// ErrTooLarge marks a response or event over its size limit.
	ErrTooLarge = errors.New("response over the size limit")
)

// notSent marks an error with ErrNotSent.
type notSent struct{ cause error }

func (e notSent) Error() string        { return e.cause.Error() }
func (e notSent) Unwrap() error        { return e.cause }
func (e notSent) Is(target error) bool { return target == ErrNotSent }

// failure returns the typed error of a failed call, marked with ErrNotSent unless
// sent is set.
func failure(step, address string, sent bool, cause error) error {
	code := codeOf(cause)
	if !sent {
		cause = notSent{cause}
	}
	return &errs.Error{Code: code, Step: step, Peer: address, Err: cause}
}

func codeOf(cause error) errs.Code {
	var typed *errs.Error
	switch {
	case errors.As(cause, &typed):
		return typed.Code
	case errors.Is(cause, ErrWrongResponse), errors.Is(cause, ErrMalformed), errors.Is(cause, ErrTooLarge):
		return errs.Internal
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, context.Canceled), isTimeout(cause):
		return errs.Timeout
	default:
		return errs.Unavailable
	}
}

func isTimeout(cause error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(cause, &timeout) && timeout.Timeout()
}
