package standin

import (
	"container/heap"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// batch is the running set and the queue of one engine. The lock of its host
// guards it.
type batch struct {
	cfg       Engine
	cache     *prefixCache
	warm      bool
	completed int
	running   map[*job]struct{}
	queue     jobQueue
	arrivals  int
}

// job is one request on an engine.
type job struct {
	id       api.RequestID
	priority int
	arrival  int
	// admitted is closed when the job may run.
	admitted chan struct{}
	// aborted is closed when the engine dies, canceled when a caller cancels.
	aborted  chan struct{}
	canceled chan struct{}
	ended    bool
}

func newBatch(cfg Engine) batch {
	return batch{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks), running: make(map[*job]struct{})}
}

func newJob(id api.RequestID, priority int) *job {
	return &job{
		id:       id,
		priority: priority,
		admitted: make(chan struct{}),
		aborted:  make(chan struct{}),
		canceled: make(chan struct{}),
	}
}

// bearable is the number of concurrent requests borne now.
func (b *batch) bearable() int {
	if b.warm {
		return b.cfg.WarmLoad
	}
	return b.cfg.ColdLoad
}

// add takes a job in. It returns false when the engine falls over.
func (b *batch) add(j *job) bool {
	if !b.warm && len(b.running)+len(b.queue) >= b.cfg.ColdLoad {
		return false
	}
	b.arrivals++
	j.arrival = b.arrivals
	heap.Push(&b.queue, j)
	b.admit()
	return true
}

// admit lets queued jobs run, highest priority first.
func (b *batch) admit() {
	for len(b.queue) > 0 && len(b.running) < b.bearable() {
		j := heap.Pop(&b.queue).(*job)
		b.running[j] = struct{}{}
		close(j.admitted)
	}
}

// remove takes a job out; a complete one counts towards the end of a cold
// start.
func (b *batch) remove(j *job, complete bool) {
	if j.ended {
		return
	}
	j.ended = true
	delete(b.running, j)
	for i, queued := range b.queue {
		if queued == j {
			heap.Remove(&b.queue, i)
			break
		}
	}
	if complete {
		b.completed++
		if b.completed >= b.cfg.WarmAfter {
			b.warm = true
		}
	}
	b.admit()
}

// abort ends every job without an answer.
func (b *batch) abort() {
	for j := range b.running {
		j.ended = true
		close(j.aborted)
	}
	for _, j := range b.queue {
		j.ended = true
		close(j.aborted)
	}
	clear(b.running)
	b.queue = nil
}

// cancel ends the jobs of one request and reports whether there were any.
func (b *batch) cancel(id api.RequestID) bool {
	found := false
	for j := range b.running {
		if j.id == id {
			found = true
			b.cancelJob(j)
		}
	}
	for _, j := range append(jobQueue(nil), b.queue...) {
		if j.id == id {
			found = true
			b.cancelJob(j)
		}
	}
	return found
}

func (b *batch) cancelJob(j *job) {
	if j.ended {
		return
	}
	close(j.canceled)
	b.remove(j, false)
}

func (b *batch) turnCold() {
	b.warm = false
	b.completed = 0
	b.cache = newPrefixCache(b.cfg.CacheBlocks)
}

// pace scales a duration by the state of the engine.
func (b *batch) pace(d time.Duration) time.Duration {
	factor := 1 + b.cfg.BatchFactor*float64(max(len(b.running)-1, 0))
	if !b.warm {
		factor *= b.cfg.ColdFactor
	}
	return time.Duration(float64(d) * factor)
}

// jobQueue is a heap: highest priority first, then first come first served.
type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *jobQueue) Push(x any) { *q = append(*q, x.(*job)) }

// Pop implements heap.Interface.
func (q *jobQueue) Pop() any {
	old := *q
	last := len(old) - 1
	j := old[last]
	old[last] = nil
	*q = old[:last]
	return j
}
