package standin

import (
	"container/heap"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// batch holds the running and queued jobs of one engine. It is guarded by the
// mutex of its host.
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
	// admitted is closed when the job starts to run.
	admitted chan struct{}
	// aborted is closed when the host stops, when its replica loses a member or
	// when its membership changes; canceled when the request is canceled.
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

// capacity returns the number of requests that the engine can run concurrently
// in its present state.
func (b *batch) capacity() int {
	if b.warm {
		return b.cfg.WarmLoad
	}
	return b.cfg.ColdLoad
}

// add queues a job. It returns false if the job overloads a cold engine, which
// then crashes.
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

// admit starts queued jobs, highest priority first, up to the capacity.
func (b *batch) admit() {
	for len(b.queue) > 0 && len(b.running) < b.capacity() {
		j := heap.Pop(&b.queue).(*job)
		b.running[j] = struct{}{}
		close(j.admitted)
	}
}

// remove removes a job. A completed job counts towards the end of a cold start.
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

// abort ends every job without a response.
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

// cancel cancels the jobs of one request and reports whether there were any.
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

func (b *batch) restartCold() {
	b.warm = false
	b.completed = 0
	b.cache = newPrefixCache(b.cfg.CacheBlocks)
}

// scale multiplies a duration by the slowdown of the running batch and of a
// cold start.
func (b *batch) scale(d time.Duration) time.Duration {
	factor := 1 + b.cfg.BatchFactor*float64(max(len(b.running)-1, 0))
	if !b.warm {
		factor *= b.cfg.ColdFactor
	}
	return time.Duration(float64(d) * factor)
}

// jobQueue is a heap ordered by descending priority, then by arrival.
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
