package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/shard"
)

const testKey = "key-of-nilecraft"

// testPast is a time at which every lease has expired.
var testPast = time.Unix(1, 0)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// testView has one entry, two replicas of one model and one service.
func testView() api.View {
	group := func(id, address string) api.Group {
		return api.Group{
			ID: api.GroupID(id), ServingGroup: "scribe", Model: "scribe-1", Domain: "east", Fencing: 3,
			Phase: api.GroupReady, Address: address, Warm: true, BearableLoad: 4, WarmLoad: 4,
			Capabilities: api.Capabilities{Resume: true, Cancel: true},
		}
	}
	return api.View{
		Revision:      2,
		ServingGroups: []api.ServingGroup{{Name: "scribe", Model: "scribe-1"}},
		Accounts:      []api.Account{{ID: "nilecraft", KeyHashes: []string{hashOf(testKey)}, Share: 2}},
		Domains:       []api.Domain{{Name: "east", State: api.DomainActive}, {Name: "west", State: api.DomainActive}},
		Services:      []api.Service{{Name: "ledger", RepeatablePaths: []string{"/quote"}}},
		Groups:        []api.Group{group("g1", "engine1"), group("g2", "engine2")},
		Entries: []api.EntryInfo{
			{ID: "e1", Incarnation: 1, Domain: "east", CallerAddress: "10.0.0.1:80", Live: true},
			{ID: "e2", Incarnation: 1, Domain: "west", CallerAddress: "10.0.0.2:80", Live: true},
		},
		Shards:  []api.ShardLease{{Shard: api.ShardID{ServingGroup: "scribe", Domain: "east"}, Owner: "e1", Epoch: 2}},
		Servers: []api.ServiceServer{{Host: "h9", Service: "ledger", Domain: "east", Address: "ledger1"}, {Host: "h8", Service: "ledger", Domain: "east", Address: "ledger2"}},
	}
}

// fakeGrants grants the replicas in rotation and tracks the grants held.
type fakeGrants struct {
	mu        sync.Mutex
	state     *entry.State
	n         int
	held      map[string]bool
	settled   []shard.Result
	ended     map[string]chan struct{}
	requests  []shard.Request
	abandoned int
	alone     []bool
	invalid   bool
	err       error
}

func (f *fakeGrants) Acquire(_ context.Context, r shard.Request) (api.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return api.Grant{}, f.err
	}
	groups := f.state.Snapshot().Groups
	if r.ServingGroup.IsService() {
		groups = nil
		for _, server := range f.state.Snapshot().Servers {
			groups = append(groups, server.Replica())
		}
	}
	for i := range groups {
		g := groups[(f.n+i)%len(groups)]
		if contains(r.Exclude, g.ID) || g.Phase != api.GroupReady {
			continue
		}
		f.n++
		id := string(r.ID) + string(g.ID) + time.Duration(f.n).String()
		f.held[id] = true
		f.ended[id] = make(chan struct{})
		f.requests = append(f.requests, r)
		f.alone = append(f.alone, r.Alone)
		return api.Grant{ID: id, Request: r.ID, Group: g.ID, Fencing: g.Fencing, Address: g.Address, Alone: r.Alone}, nil
	}
	return api.Grant{}, errs.New(errs.Unavailable, "acquire grant", "", "no replica")
}

func contains(ids []api.GroupID, id api.GroupID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func (f *fakeGrants) Valid(g api.Grant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[g.ID] && !f.invalid
}

func (f *fakeGrants) Ended(g api.Grant) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended[g.ID]
}

// revoke ends a held grant.
func (f *fakeGrants) revoke(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.ended[id])
}

func (f *fakeGrants) Abandon(g api.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, g.ID)
	f.abandoned++
}

func (f *fakeGrants) Settle(g api.Grant, r shard.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, g.ID)
	f.settled = append(f.settled, r)
}

func (f *fakeGrants) outstanding() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

// fakeControl keeps idempotency records and suspects in memory.
type fakeControl struct {
	mu       sync.Mutex
	records  map[string]api.Record
	deaths   map[string]int
	suspects int
	fail     map[api.Method]error
	ended    chan struct{}
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		records: map[string]api.Record{}, deaths: map[string]int{},
		fail: map[api.Method]error{}, ended: make(chan struct{}),
	}
}

func (f *fakeControl) Call(ctx context.Context, method api.Method, params, result any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail[method]; err != nil {
		return err
	}
	switch method {
	case api.MethodRecordOpen:
		*result.(*api.RecordOpenResponse) = f.open(params.(api.RecordOpenRequest).Record)
	case api.MethodRecordEnd:
		f.end(params.(api.RecordEndRequest).Record)
	case api.MethodRecordGet:
		*result.(*api.RecordGetResponse) = f.get(ctx, params.(api.RecordGetRequest))
	case api.MethodSuspect:
		fp := params.(api.SuspectRequest).Fingerprint
		inForce := params.(api.SuspectRequest).WaitMillis > 0
		if !inForce {
			f.suspects++
			f.deaths[fp]++
		}
		q := api.Quarantine{Fingerprint: fp, Deaths: f.deaths[fp]}
		if q.Deaths > 1 {
			q.UntilUnixMillis = time.Now().Add(time.Hour).UnixMilli()
		}
		*result.(*api.SuspectResponse) = api.SuspectResponse{Quarantine: q, InForce: inForce}
	}
	return nil
}

// set makes a method fail, or succeed again with a nil error.
func (f *fakeControl) set(method api.Method, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail[method] = err
}

func recordKey(account api.AccountID, key string) string { return string(account) + "/" + key }

func (f *fakeControl) open(r api.Record) api.RecordOpenResponse {
	key := recordKey(r.Account, r.Key)
	if found, ok := f.records[key]; ok {
		return api.RecordOpenResponse{Record: found}
	}
	f.records[key] = r
	return api.RecordOpenResponse{Created: true, Record: r}
}

func (f *fakeControl) end(r api.Record) {
	key := recordKey(r.Account, r.Key)
	if f.records[key].Request != r.Request {
		return
	}
	f.records[key] = r
	if r.State == api.RecordNotRun {
		delete(f.records, key)
	}
	close(f.ended)
	f.ended = make(chan struct{})
}

// get waits for an end while the record runs. The lock is held on entry and
// on return.
func (f *fakeControl) get(ctx context.Context, r api.RecordGetRequest) api.RecordGetResponse {
	key := recordKey(r.Account, r.Key)
	for {
		found, ok := f.records[key]
		ended := f.ended
		if !ok || found.State != api.RecordRunning {
			return api.RecordGetResponse{Found: ok, Record: found}
		}
		f.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
		}
		f.mu.Lock()
		if ctx.Err() != nil {
			return api.RecordGetResponse{Found: true, Record: f.records[key]}
		}
	}
}

func (f *fakeControl) record(key string) (api.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[recordKey("nilecraft", key)]
	return r, ok
}

var (
	errBroken = errors.New("connection reset")
	// errRefused is a client's error for a host whose process is gone.
	errRefused = errors.Mark(errors.WithStack(syscall.ECONNREFUSED), backend.ErrNotSent)
)

// fakeBackends runs do for each request and records the requests.
type fakeBackends struct {
	mu        sync.Mutex
	do        func(ctx context.Context, r backend.Request) (*backend.Response, error)
	runs      []backend.Request
	cancelled []api.RequestID
	cancelErr error
}

func (f *fakeBackends) Do(ctx context.Context, r backend.Request) (*backend.Response, error) {
	if err := beforeWrite(r); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
	return f.do(ctx, r)
}

// beforeWrite runs the hook as a client does once its connection is ready.
func beforeWrite(r backend.Request) error {
	if r.BeforeWrite == nil {
		return nil
	}
	return errors.Mark(r.BeforeWrite(), backend.ErrNotSent)
}

func (f *fakeBackends) Cancel(_ context.Context, _ string, id api.RequestID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, id)
	return f.cancelErr
}

func (f *fakeBackends) runCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

// fakeStream yields events and then an error, or the terminator for nil.
type fakeStream struct {
	events []backend.Event
	err    error
	done   bool
	closed bool
}

func (f *fakeStream) Next() (backend.Event, error) {
	if len(f.events) > 0 {
		ev := f.events[0]
		f.events = f.events[1:]
		return ev, nil
	}
	if f.err != nil {
		return backend.Event{}, f.err
	}
	if f.done {
		return backend.Event{}, io.EOF
	}
	f.done = true
	return backend.Event{Done: true}, nil
}

func (f *fakeStream) Close() error {
	f.closed = true
	return nil
}

// tokens returns the events from offset from+1 to offset to.
func tokens(from, to int) []backend.Event {
	var events []backend.Event
	for i := from + 1; i <= to; i++ {
		events = append(events, backend.Event{Offset: i, Data: []byte(`{"token":` + time.Duration(i).String()[:1] + `}`)})
	}
	return events
}

// harness is a server over fakes.
type harness struct {
	server   *Server
	state    *entry.State
	grants   *fakeGrants
	control  *fakeControl
	backends *fakeBackends
}

func newHarness(settings Settings) *harness {
	state := entry.NewState(api.EntryInfo{ID: "e1", Incarnation: 1, Domain: "east"}, clock.System{})
	state.Apply(testView())
	state.SetLease(time.Now().Add(time.Hour))
	h := &harness{
		state:    state,
		grants:   &fakeGrants{state: state, held: map[string]bool{}, ended: map[string]chan struct{}{}},
		control:  newFakeControl(),
		backends: &fakeBackends{},
	}
	h.server = New(Config{
		Self: state.Info, State: state, Control: h.control, Grants: h.grants, Backends: h.backends,
		Clock: clock.System{}, Logger: logging.Discard(), Settings: settings,
	})
	return h
}
