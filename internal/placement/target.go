package placement

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Target is one replica of a model or one server of a plain service, as the view
// shows it.
type Target struct {
	// ID names the group or the host.
	ID string
	// Generation is the fencing number of the group or the incarnation of the host.
	Generation uint64
	// Instance is the host that takes the requests.
	Instance api.HostID
	Address  string
	Domain   api.FailureDomain
	// Slots is the number of requests that it runs at once, 0 unknown.
	Slots int
	// Closed targets finish their requests and take no new ones.
	Closed bool
	// Cold targets take no more than ColdRate requests a second over all entries.
	Cold     bool
	ColdRate float64
	// Pace multiplies the times of the pool's profile.
	Pace float64
}

// Demand is what a request asks of a target.
type Demand struct {
	// Prompt and Answer are token counts, 0 for plain services.
	Prompt int
	Answer int
	// Urgency orders the waiting requests; 0 goes first.
	Urgency int
	// Deadline is when the answer is of no more use. FirstBy is when the caller gives
	// up without a first event, Objective until when that is on time; both are zero
	// for requests that are no streams.
	Deadline  time.Time
	FirstBy   time.Time
	Objective time.Time
	// Exclude lists targets that already failed the request.
	Exclude []string
	// Begun is set for a request that other targets have worked on.
	Begun bool
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

// remoteLoad is what another entry reported.
type remoteLoad struct {
	load
	suspectUntil time.Time
	at           time.Time
}

// state is a target with what is known of its work.
type state struct {
	Target
	own    load
	remote map[api.EntryID]remoteLoad
	// coldQuota is this entry's part of ColdRate.
	coldQuota int
	// placed are the moments at which this entry placed requests while the target
	// was cold, within the last second.
	placed []time.Time
	// suspectUntil is until when nothing new is placed here.
	suspectUntil time.Time
	// answeredAt is when a byte of any answer last arrived, waitingSince since when
	// requests have waited without one.
	answeredAt   time.Time
	waitingSince time.Time
	// stalled is set while requests stand still.
	stalled bool
}

// ReportLifetime is how long a load report counts. Reports come several times a
// second; an entry that is gone reports no more.
const ReportLifetime = 1500 * time.Millisecond

// total is the work of all entries.
func (s *state) total(now time.Time) load {
	sum := s.own
	for _, r := range s.remote {
		if now.Sub(r.at) < ReportLifetime {
			sum.add(r.load)
		}
	}
	return sum
}

// suspected reports whether this or another entry sends nothing here for now.
func (s *state) suspected(now time.Time) bool {
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
