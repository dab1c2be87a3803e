package clock

import (
	"context"
	"time"
)

// Sleep waits for d or the end of ctx. It reports whether ctx is still valid.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
