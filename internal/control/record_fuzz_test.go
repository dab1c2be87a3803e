package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// recordOracle holds the expected records.
type recordOracle struct {
	rows map[string]api.Record
}

// open checks the answer to an open. An open with a lost answer counts as
// committed, because the fake log commits it.
func (o *recordOracle) open(r api.Record, got api.RecordOpenResponse, code errs.Code) error {
	old, exists := o.rows[r.Key]
	switch {
	case exists && got.Created:
		return fmt.Errorf("key %s was created by %s and again by %s", r.Key, old.Request, r.Request)
	case exists && code == "" && got.Record.Request != old.Request:
		return fmt.Errorf("key %s belongs to %s, not to %s", r.Key, old.Request, got.Record.Request)
	case exists && code == "" && old.BodyHash != r.BodyHash:
		return fmt.Errorf("key %s was used with another body", r.Key)
	case !exists && (got.Created || code == errs.Timeout):
		r.State = api.RecordRunning
		o.rows[r.Key] = r
	}
	return nil
}

// end applies an accepted end.
func (o *recordOracle) end(r api.Record, now time.Time) {
	old, ok := o.rows[r.Key]
	if !ok || old.Request != r.Request || old.Incarnation != r.Incarnation || old.State == api.RecordComplete {
		return
	}
	if r.State == api.RecordNotRun {
		delete(o.rows, r.Key)
		return
	}
	old.State = r.State
	old.ExpiresUnixMillis = now.UnixMilli() + fuzzRecordLimits.RetentionMillis
	o.rows[r.Key] = old
}

// orphan applies the loss of an entry's incarnations.
func (o *recordOracle) orphan(upTo api.Incarnation, now time.Time) {
	for key, r := range o.rows {
		if r.State == api.RecordRunning && r.Incarnation <= upTo {
			r.State = api.RecordUnknown
			r.ExpiresUnixMillis = now.UnixMilli() + fuzzRecordLimits.RetentionMillis
			o.rows[key] = r
		}
	}
}

func (o *recordOracle) expire(now time.Time) {
	for key, r := range o.rows {
		if r.State != api.RecordRunning && r.ExpiresUnixMillis <= now.UnixMilli() {
			delete(o.rows, key)
		}
	}
}

// check compares the store with the oracle.
func (o *recordOracle) check(s *State) error {
	stored := s.records.list()
	if len(stored) != len(o.rows) {
		return fmt.Errorf("%d records are stored, want %d", len(stored), len(o.rows))
	}
	for _, r := range stored {
		want := o.rows[r.Key]
		if r.State != want.State || r.Request != want.Request {
			return fmt.Errorf("key %s is %s of %s, want %s of %s", r.Key, r.State, r.Request, want.State, want.Request)
		}
		if r.State != api.RecordRunning && r.ExpiresUnixMillis != want.ExpiresUnixMillis {
			return fmt.Errorf("key %s expires at %d, want %d", r.Key, r.ExpiresUnixMillis, want.ExpiresUnixMillis)
		}
	}
	return nil
}

// runRecords runs drawn calls of one entry and returns the first violation.
func runRecords(t *rapid.T, f *fixture) error {
	oracle := &recordOracle{rows: map[string]api.Record{}}
	incarnation := api.Incarnation(1)
	requests := 0
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		_ = f.renew("e1", incarnation)
		f.setFaults(rapid.IntRange(0, 7).Draw(t, "lose") == 0, false)
		r := drawRecord(t)
		r.Entry = "e1"
		r.Incarnation = incarnation
		switch rapid.IntRange(0, 8).Draw(t, "event") {
		case 0, 1, 2:
			requests++
			r.Request = api.RequestID(fmt.Sprint(requests))
			got, err := f.service().recordOpen(ctx, api.RecordOpenRequest{Record: r})
			if err := oracle.open(r, got, codeOf(err)); err != nil {
				return err
			}
		case 3, 4:
			if stored, ok := oracle.rows[r.Key]; ok {
				r.Request = stored.Request
				r.Incarnation = stored.Incarnation
			}
			r.State = rapid.SampledFrom([]api.RecordState{api.RecordComplete, api.RecordUnknown, api.RecordNotRun}).Draw(t, "end")
			_, err := f.service().recordEnd(ctx, api.RecordEndRequest{Record: r})
			if err == nil || errs.Is(err, errs.Timeout) {
				oracle.end(r, f.clock.Now())
			}
		case 5:
			f.elect(rapid.IntRange(0, 2).Draw(t, "leader"))
		case 6:
			// A new leader takes over first and counts the lease from its election.
			f.setFaults(false, false)
			f.advance(0)
			f.advance(DefaultLeaseDuration + DefaultDriftMargin + time.Millisecond)
			oracle.orphan(incarnation, f.clock.Now())
			oracle.expire(f.clock.Now())
			incarnation++
		default:
			f.setFaults(false, false)
			f.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "millis")) * time.Millisecond)
			oracle.expire(f.clock.Now())
		}
		if err := oracle.check(f.state()); err != nil {
			return err
		}
	}
	return nil
}

func newRecordFixture() *fixture {
	return newFixture(func(c *Config) { c.Limits.Records = fuzzRecordLimits })
}

func TestRecordsFollowTheOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, runRecords(t, newRecordFixture())) })
}

func TestRecordCheckerCatchesOverwritingOpen(t *testing.T) {
	f := newRecordFixture()
	for _, s := range f.states {
		s.guards.recordExists = func(*tx, recordKey) (api.Record, bool) { return api.Record{}, false }
	}
	require.NoError(t, f.renew("e1", 1))
	oracle := &recordOracle{rows: map[string]api.Record{}}
	var violation error
	for _, request := range []api.RequestID{"r1", "r2"} {
		r := api.Record{Account: "a", Key: "k1", Request: request, Entry: "e1", Incarnation: 1}
		got, err := f.service().recordOpen(ctx, api.RecordOpenRequest{Record: r})
		require.NoError(t, err)
		violation = oracle.open(r, got, "")
	}
	require.ErrorContains(t, violation, "was created by r1 and again by r2")
}

func TestRecordFuzzFindsBrokenVariants(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newRecordFixture()
		for _, s := range f.states {
			s.guards.recordExists = func(*tx, recordKey) (api.Record, bool) { return api.Record{}, false }
		}
		if runRecords(t, f) != nil {
			found++
		}
	})
	require.NotZero(t, found)
	t.Logf("found in %d cases", found)
}
