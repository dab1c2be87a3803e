// Package errs defines the typed errors of crocusway. An error carries the failed
// operation, the peer, and a code that is preserved across peer calls.
package errs

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Code is the machine-readable class of an error.
type Code string

// Error codes.
const (
	Internal    Code = "internal"
	Invalid     Code = "invalid"
	NotFound    Code = "not_found"
	Conflict    Code = "conflict"
	NotLeader   Code = "not_leader"
	Unavailable Code = "unavailable"
	Timeout     Code = "timeout"
	Full        Code = "full"
	Denied      Code = "denied"
	Stale       Code = "stale"
)

// Error is an error with a code, the failed operation and the peer.
type Error struct {
	Code Code
	// Step names the operation that failed, for example "append entries".
	Step string
	// Peer is the address or name of the remote side; empty for a local error.
	Peer string
	// Detail is a machine-readable hint, such as the leader's address.
	Detail string
	// RetryAfterMillis is a hint for callers; 0 if there is none.
	RetryAfterMillis int64
	Err              error
}

// Error formats the step, the peer and the cause.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error with a formatted cause.
func New(code Code, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Err: errors.Newf(format, args...)}
}

// Wrap adds a step and a peer to err and keeps its code. It returns nil if err is
// nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Code: CodeOf(err), Step: step, Peer: peer, Err: err}
}

// CodeOf returns the code of the outermost typed error, or Internal.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// Is reports whether err has the code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }

// DetailOf returns the innermost non-empty detail of err.
func DetailOf(err error) string {
	detail := ""
	for err != nil {
		var e *Error
		if !errors.As(err, &e) {
			break
		}
		if e.Detail != "" {
			detail = e.Detail
		}
		err = e.Err
	}
	return detail
}

// RetryAfterOf returns the first positive retry hint of err, in milliseconds.
func RetryAfterOf(err error) int64 {
	for err != nil {
		var e *Error
		if !errors.As(err, &e) {
			return 0
		}
		if e.RetryAfterMillis > 0 {
			return e.RetryAfterMillis
		}
		err = e.Err
	}
	return 0
}
