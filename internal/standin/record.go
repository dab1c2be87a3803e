package standin

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Run is one request that a backend server began to run.
type Run struct {
	Request     api.RequestID
	Host        api.HostID
	Incarnation api.Incarnation
	Group       api.GroupID
	// Fencing is the number that the host held, Granted the number that the
	// request named, 0 if none.
	Fencing api.Fencing
	Granted api.Fencing
	Key     string
	Path    string
	Body    string
	// Concurrent is the number of requests on the host, this one included, and
	// Borne the number that it bore.
	Concurrent int
	Borne      int
	// Blocks is the length of the prompt in whole blocks, Cached the number of
	// leading ones that the prefix cache held.
	Blocks int
	Cached int
	Start  time.Time
	// End is when a completion ran to its end, zero if it did not.
	End time.Time
}

// OrderRun is one order that reached a host.
type OrderRun struct {
	Order    api.Order
	Accepted bool
	At       time.Time
}

// maxRecorded bounds the records that a fleet keeps.
const maxRecorded = 1 << 20

// recorder keeps what ran, in order of start.
type recorder struct {
	mu       sync.Mutex
	runs     []Run
	orders   []OrderRun
	falls    int
	complete int
}

// addRun returns the number of the run.
func (r *recorder) addRun(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) < maxRecorded {
		r.runs = append(r.runs, run)
		return len(r.runs) - 1
	}
	return maxRecorded
}

func (r *recorder) addOrder(o OrderRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.orders) < maxRecorded {
		r.orders = append(r.orders, o)
	}
}

func (r *recorder) addFall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.falls++
}

// addComplete counts a run that came to its end.
func (r *recorder) addComplete(run int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete++
	if run < len(r.runs) {
		r.runs[run].End = now
	}
}

// Runs returns every request that began to run, in order of start.
func (f *Fleet) Runs() []Run {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return append([]Run(nil), f.record.runs...)
}

// Orders returns every order that reached a host.
func (f *Fleet) Orders() []OrderRun {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return append([]OrderRun(nil), f.record.orders...)
}

// Falls returns how often a host fell over: too much load during a cold start
// or a request that crashes it.
func (f *Fleet) Falls() int {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.record.falls
}

// Completed returns the number of requests that ran to their end.
func (f *Fleet) Completed() int {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.record.complete
}
