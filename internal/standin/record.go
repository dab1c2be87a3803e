package standin

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Run is one request that a backend server started to process.
type Run struct {
	Request     api.RequestID
	Host        api.HostID
	Incarnation api.Incarnation
	Group       api.GroupID
	// Fencing is the fencing number of the host's membership, Granted that of the
	// request, 0 if it had none.
	Fencing api.Fencing
	Granted api.Fencing
	Key     string
	Path    string
	Body    string
	// Concurrent is the number of requests on the host, including this one, and
	// Capacity its capacity at that time.
	Concurrent int
	Capacity   int
	// Blocks is the number of whole blocks in the prompt, Cached the number of
	// leading ones that were in the prefix cache.
	Blocks int
	Cached int
	Start  time.Time
	// End is the time at which a completion request finished, zero if it did not.
	End time.Time
}

// OrderRun is one order that a host received.
type OrderRun struct {
	Order    api.Order
	Accepted bool
	At       time.Time
}

// maxRecorded is the maximum number of runs, and of orders, that a fleet records.
const maxRecorded = 1 << 20

// recorder records requests in order of start, and received orders.
type recorder struct {
	mu        sync.Mutex
	runs      []Run
	orders    []OrderRun
	crashes   int
	completed int
}

// addRun records a run and returns its index, or maxRecorded if the record is full.
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

func (r *recorder) addCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
}

// addComplete counts a completed run and sets its end.
func (r *recorder) addComplete(run int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed++
	if run < len(r.runs) {
		r.runs[run].End = now
	}
}

// Runs returns every request that was started, in order of start.
func (f *Fleet) Runs() []Run {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return append([]Run(nil), f.record.runs...)
}

// Orders returns every order that a host received over HTTP.
func (f *Fleet) Orders() []OrderRun {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return append([]OrderRun(nil), f.record.orders...)
}

// Crashes returns the number of host crashes, by overload or by a request that
// CrashOn selects.
func (f *Fleet) Crashes() int {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.record.crashes
}

// Completed returns the number of completion requests that finished.
func (f *Fleet) Completed() int {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.record.completed
}
