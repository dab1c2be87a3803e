package control

import (
	"time"

	"github.com/crocusway/crocusway/internal/errs"
)

// Delays after which a refused call may be retried.
const (
	// retryApply is for an entry that lags behind.
	retryApply = 50 * time.Millisecond
	// retryRegistration is for an entry that is not registered as live.
	retryRegistration = time.Second
	// retryMember is for a membership change that has to wait for an earlier one
	// or for a learner that lags behind.
	retryMember = time.Second
)

// refuse returns the error of a call or command that is refused.
func refuse(code errs.Code, step, format string, args ...any) error {
	return errs.New(code, step, "", format, args...)
}

// retryLater refuses a call that may succeed after a delay.
func retryLater(after time.Duration, step, format string, args ...any) error {
	err := errs.New(errs.Unavailable, step, "", format, args...)
	err.RetryAfterMillis = max(1, after.Milliseconds())
	return err
}
