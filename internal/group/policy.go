package group

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Policy holds the settings of the planner and of the Reconciler.
type Policy struct {
	// Weights apply when the view carries none.
	Weights api.Weights
	// DetectionBound is the age of the last announcement above which a host
	// counts as dead.
	DetectionBound time.Duration
	// Grace is the minimum time that a broken group waits for a silent member,
	// which may only be paused, before it replaces the member.
	Grace time.Duration
	// GraceShare times the usual load time of the serving group replaces Grace
	// when it is longer, up to MaxGrace.
	GraceShare float64
	MaxGrace   time.Duration
	// Hold is how long the survivors of a group that cannot be repaired stay
	// together after Grace. It is scaled by Weights.Downtime over
	// Weights.Stranded.
	Hold time.Duration
	// DrainHold is how long ready groups of a drained domain are kept loaded.
	// It is scaled by Weights.DomainChange over Weights.Stranded.
	DrainHold time.Duration
	// LeaveDrain is the time that a leaving member gets to finish its work.
	LeaveDrain time.Duration
	// LeaveLimit is when a shared replica that takes nothing new is released although it
	// still answers: members that leave end their work by then.
	LeaveLimit time.Duration
	// BackoffBase is the time after a failure during which a host is not
	// used; each further failure doubles it up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// FailureResetAfter is the time without a failure after which the failure count
	// of a host is reset.
	FailureResetAfter time.Duration
	// OrderTimeout bounds one order, from the decision to the answer.
	OrderTimeout time.Duration
	// OrderRetry is the minimum time between two sends of one order.
	OrderRetry time.Duration
	// OrderConcurrency bounds the orders in flight; 0 is unlimited.
	OrderConcurrency int
	// OrderHorizon is the time after which no order of an older leader can
	// arrive: OrderTimeout plus the leader lease plus a margin.
	OrderHorizon time.Duration
	// LoadRate is the budget of the weight store, in bytes per second; 0 is
	// unlimited.
	LoadRate int64
	// LoadBurst is the number of bytes that may be started at once; 0 selects
	// eight seconds of LoadRate.
	LoadBurst int64
	// MaxLoads is the number of groups that load at once; 0 is unlimited.
	MaxLoads int
	// MaxDomainLoads is the number of groups that load at once in one failure
	// domain, so that a restored domain returns in steps; 0 is unlimited.
	MaxDomainLoads int
	// LoadTimeout is how long a member may load before it counts as lost.
	LoadTimeout time.Duration
	// Rebalance moves replicas, one at a time, to failure domains that hold fewer
	// of their serving group, while nothing is missing.
	Rebalance bool
	// StalledSilence replaces DetectionBound for members of a replica whose requests
	// make no progress; 0 leaves DetectionBound.
	StalledSilence time.Duration
	// AnswerBound is the maximum age of an answer that proves that every member of
	// its replica works.
	AnswerBound time.Duration
	// IdleSilence replaces DetectionBound for members of shared replicas in a drained
	// failure domain: no requests reach them that could prove that they work, and late
	// detection affects no request.
	IdleSilence time.Duration
	// StallTime is how long the head of a shared replica goes on after it lost a member.
	StallTime time.Duration
	// OrderLateness is how long after it was sent an order to a shared replica without an answer may
	// be carried out.
	OrderLateness time.Duration
	// LostHostRetention is how long a lost host keeps its membership of a released
	// shared replica.
	LostHostRetention time.Duration
	// ConvertAfter is how long a free host waits for a replica of the model that it
	// holds before it loads another one.
	ConvertAfter time.Duration
	// MaxHostLoads is the number of hosts of a service that load weights at once,
	// unless its serving groups set LoadsAtOnce.
	MaxHostLoads int
	// SettleTime is how long a fabric domain must have gained no free host before a
	// replica that needs loads is formed there: hosts announce themselves one by one.
	SettleTime time.Duration
	// StragglerFactor times the usual load time of a serving group is how long
	// a member may load; 0 leaves only LoadTimeout.
	StragglerFactor float64
}

// DefaultPolicy returns settings for a deployment whose three weights are equal.
func DefaultPolicy() Policy {
	return Policy{
		Weights:           api.Weights{Downtime: 1, Stranded: 1, DomainChange: 1},
		DetectionBound:    3 * time.Second,
		Grace:             8 * time.Second,
		GraceShare:        0.15,
		MaxGrace:          30 * time.Second,
		Hold:              30 * time.Second,
		DrainHold:         60 * time.Second,
		LeaveDrain:        10 * time.Second,
		LeaveLimit:        10 * time.Second,
		BackoffBase:       2 * time.Second,
		BackoffMax:        5 * time.Minute,
		FailureResetAfter: 30 * time.Minute,
		OrderTimeout:      2 * time.Second,
		OrderRetry:        time.Second,
		OrderConcurrency:  64,
		OrderHorizon:      8 * time.Second,
		LoadRate:          64 << 30,
		MaxLoads:          64,
		MaxDomainLoads:    24,
		LoadTimeout:       20 * time.Minute,
		AnswerBound:       2500 * time.Millisecond,
		StallTime:         4 * time.Second,
		OrderLateness:     15 * time.Second,
		LostHostRetention: time.Minute,
		ConvertAfter:      20 * time.Second,
		IdleSilence:       8 * time.Second,
		MaxHostLoads:      8,
		SettleTime:        1300 * time.Millisecond,
		StragglerFactor:   4,
	}
}

// PresetNilecraft weighs group downtime above the other measures.
func PresetNilecraft() Policy {
	p := DefaultPolicy()
	p.Weights = api.Weights{Downtime: 3, Stranded: 1, DomainChange: 1}
	return p
}

// PresetTabrak weighs service during failure domain changes above the others.
func PresetTabrak() Policy {
	p := DefaultPolicy()
	p.Weights = api.Weights{Downtime: 1, Stranded: 1, DomainChange: 3}
	return p
}

// Bounds of the factor by which weights scale a hold time.
const (
	minHoldFactor = 0.25
	maxHoldFactor = 4.0
)

func (p *Policy) weights(v *api.FleetView) api.Weights {
	if v.Weights != (api.Weights{}) {
		return v.Weights
	}
	if p.Weights != (api.Weights{}) {
		return p.Weights
	}
	return api.Weights{Downtime: 1, Stranded: 1, DomainChange: 1}
}

// defaultBurstPeriod is the time over which unused load budget accumulates if
// LoadBurst is 0.
const defaultBurstPeriod = 8 * time.Second

// burst is the capacity of the token bucket, in bytes.
func (p *Policy) burst() float64 {
	if p.LoadBurst > 0 {
		return float64(p.LoadBurst)
	}
	return float64(p.LoadRate) * defaultBurstPeriod.Seconds()
}

func scaleHold(d time.Duration, gain, cost float64) time.Duration {
	factor := maxHoldFactor
	if cost > 0 {
		factor = gain / cost
	}
	factor = min(max(factor, minHoldFactor), maxHoldFactor)
	return time.Duration(float64(d) * factor)
}
