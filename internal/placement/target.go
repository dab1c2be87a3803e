package placement

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Target is one replica of a model or one server of a plain service, as given by the
// view.
type Target struct {
	// ID is that of the group or the host.
	ID string
	// Generation is the fencing number of the group or the incarnation of the host.
	Generation uint64
	// Instance is the host that takes the requests, in its life Incarnation.
	Instance    api.HostID
	Incarnation api.Incarnation
	Address     string
	Domain      api.FailureDomain
	// Slots is the number of requests that it runs at once, 0 if unknown.
	Slots int
	// Closed targets finish their requests and take no new ones.
	Closed bool
	// Cold targets take no more than ColdRate requests a second over all entries.
	Cold     bool
	ColdRate float64
	// Pace multiplies the times of the pool's profile.
	Pace float64
}

// Demand describes what a request needs of a target.
type Demand struct {
	// Prompt and Answer are token counts, 0 for plain services.
	Prompt int
	Answer int
	// Urgency orders the waiting requests; 0 goes first.
	Urgency int
	// Deadline is when the answer is of no more use. FirstBy is when the caller gives
	// up without a first event, Objective the latest time at which that is on time; both
	// are zero for requests that are not streams.
	Deadline  time.Time
	FirstBy   time.Time
	Objective time.Time
	// Exclude lists targets that already failed the request.
	Exclude []string
	// Begun is set for a request that may have run on another target.
	Begun bool
	// latestStart ends the wait for a slot, once it has begun. A wait that starts again does
	// not last longer.
	latestStart time.Time
}

// tokens is the context that the request holds on average while it runs.
func (d *Demand) tokens() int { return d.Prompt + d.Answer/2 }

// load is the work in progress on a target.
type load struct {
	running int
	// prefill counts the prompt tokens of requests without a first event.
	prefill int
	context int
}

func (l *load) add(o load) {
	l.running += o.running
	l.prefill += o.prefill
	l.context += o.context
}

// remoteLoad is the load that another entry reported.
type remoteLoad struct {
	load
	suspectUntil time.Time
	at           time.Time
	// limit is in requests a second, if limited is set.
	limit   float64
	limited bool
}

// targetState is a target with the known work on it.
type targetState struct {
	Target
	own    load
	remote map[api.EntryID]remoteLoad
	// coldQuota is this entry's part of ColdRate.
	coldQuota int
	// rank is this entry's place among those that share the rate of the target.
	rank int
	// limit is what the last answer from the target to this entry named.
	limit limit
	// placements are the times at which this entry placed requests, within limitWindow.
	placements []time.Time
	// suspectUntil is the time until which nothing new is placed here, suspectedAt when
	// this entry began to suspect the target; dialFailed is set if a connection attempt
	// was the reason.
	suspectUntil time.Time
	suspectedAt  time.Time
	dialFailed   bool
	// answeredAt is when a byte of any answer last arrived, waitingSince the start of the
	// current wait of requests for one.
	answeredAt   time.Time
	waitingSince time.Time
	// stalled is set once a request here has stalled, until a byte arrives or no request
	// is left.
	stalled bool
}

// ReportLifetime is how long a load report counts. Reports arrive several times a
// second; those of a lost entry expire.
const ReportLifetime = 1500 * time.Millisecond

// total is the work of all entries.
func (s *targetState) total(now time.Time) load {
	sum := s.own
	for _, r := range s.remote {
		if now.Sub(r.at) < ReportLifetime {
			sum.add(r.load)
		}
	}
	return sum
}

// suspected reports whether this or another entry currently suspects the target.
func (s *targetState) suspected(now time.Time) bool {
	if now.Before(s.suspectUntil) {
		return true
	}
	for _, r := range s.remote {
		if now.Before(r.suspectUntil) && r.at.After(s.answeredAt) {
			return true
		}
	}
	return false
}
