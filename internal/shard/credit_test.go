package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	testShare = 2
	testStep  = 100 * time.Millisecond
)

// heldWhenBothExceedShares lets account "claim" of the given class and account
// "bulk" of class 0, with half of the capacity as share each, both request more
// than their shares. It returns the grants of "claim" after each step. Every
// request ends within a step.
func heldWhenBothExceedShares(class, steps int) []int {
	c := openCore(warmGroup("g1", 2*testShare))
	running := map[string]api.Grant{}
	held := make([]int, 0, steps)
	id := uint64(0)
	for i := range steps {
		now := testStart.Add(time.Duration(i) * testStep)
		c.ledger.credits.advance(now, c.ledger.accounts)
		for _, g := range running {
			c.Settle(now, api.SettleRequest{Grant: g, Outcome: api.OutcomeComplete})
		}
		clear(running)
		for range 2 * testShare {
			for account, class := range map[string]int{"claim": class, "bulk": 0} {
				id++
				c.Submit(ticket(id, account, class, testShare, time.Hour))
			}
		}
		for _, d := range c.Advance(now, true) {
			if d.Err == nil {
				running[d.Grant.ID] = d.Grant
			}
		}
		held = append(held, c.ledger.accounts["claim"])
	}
	return held
}

// TestAccountMayExceedItsShareOnCredit checks that an account exceeds its share
// by no more than its credit, and is back at its share afterwards.
func TestAccountMayExceedItsShareOnCredit(t *testing.T) {
	held := heldWhenBothExceedShares(1, 60)
	excess, most := 0, testShare*int(DefaultSettings().ShareCredit/testStep)
	for _, n := range held {
		excess += max(0, n-testShare)
	}
	require.Equal(t, creditFactor*testShare, held[0])
	require.InDelta(t, most, excess, creditFactor*testShare)
	require.LessOrEqual(t, held[len(held)-1], testShare)
}

// TestCreditDoesNotOutrankTheSameClass checks that an account gets just its share
// when it and another account of the same class request more than their shares.
func TestCreditDoesNotOutrankTheSameClass(t *testing.T) {
	for _, n := range heldWhenBothExceedShares(0, 30) {
		require.Equal(t, testShare, n)
	}
}

func TestCreditIsEarnedBack(t *testing.T) {
	c := newCredits(time.Second, testStart)
	for _, step := range []struct {
		name   string
		held   int
		after  time.Duration
		covers bool
	}{
		{"twice the share", 4, 0, true},
		{"used up", 4, time.Second, false},
		{"debt is bounded", 4, time.Hour, false},
		{"within the share", 2, time.Hour, false},
		{"as much unused as the debt", 0, time.Second + time.Millisecond, true},
	} {
		c.open("a", testShare)
		c.advance(c.advanced.Add(step.after), map[api.AccountID]int{"a": step.held})
		require.Equal(t, step.covers, c.covers("a"), step.name)
	}
	c.advance(c.advanced.Add(time.Hour), nil)
	require.Empty(t, c.accounts, "an idle account has no record")
}

// TestCreditProtectsOnlyFromLowerClasses claims a share while another account
// exceeds its own on credit.
func TestCreditProtectsOnlyFromLowerClasses(t *testing.T) {
	for _, tc := range []struct{ class, revoked int }{{0, 0}, {1, 1}, {2, 1}} {
		c := openCore(resumableGroup(api.Capabilities{Resume: true, Cancel: true}))
		for i := range uint64(2) {
			borrower := ticket(i+1, "lent", 1, 1, time.Minute)
			borrower.Request.Revocable = true
			submit(c, borrower)
		}
		submit(c, ticket(3, "claim", tc.class, 1, time.Minute))
		require.Len(t, c.Revocations(), tc.revoked, "class %d", tc.class)
	}
}
