package placement

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// clockDifference bounds how far the clocks of an entry and a server differ.
	clockDifference = 5 * time.Second
	// doubtLifetime is how long an answer counts for an incarnation that started so shortly
	// before or after it that the clocks don't show which: one that has said that it leaves
	// is gone by then, and a new one is not kept idle for good.
	doubtLifetime = 30 * time.Second
)

// answerOrigin describes the incarnation of a server that sent an answer. The view may have named
// one of its predecessors, and an answer does not name its own: it is the named incarnation
// or a later one that started before the connection.
type answerOrigin struct {
	incarnation api.Incarnation
	// connected is zero if no answer has come.
	connected time.Time
}

// covers reports whether an answer counts for an incarnation: it is not known to have started
// after the answer. A view that is merely late thus ends no notice.
func (t *answerOrigin) covers(incarnation api.Incarnation, now time.Time) bool {
	if t.connected.IsZero() {
		return false
	}
	if incarnation <= t.incarnation {
		return true
	}
	// An incarnation is the server's start in Unix milliseconds.
	age := t.connected.Sub(time.UnixMilli(int64(incarnation)))
	if age >= clockDifference {
		return true
	}
	return age > -clockDifference && now.Sub(t.connected) < doubtLifetime
}

// add merges the sender of another answer. It returns false if that is only a predecessor.
func (t *answerOrigin) add(from Source, now time.Time) bool {
	other := answerOrigin{incarnation: from.Incarnation, connected: from.Connected}
	switch {
	case !t.covers(from.Incarnation, now):
		*t = other
	case !other.covers(t.incarnation, now):
		return false
	default:
		t.incarnation = max(t.incarnation, from.Incarnation)
		if from.Connected.After(t.connected) {
			t.connected = from.Connected
		}
	}
	return true
}
