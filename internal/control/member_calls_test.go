package control

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/errs"
)

// memberLog is a Log that can change its members.
type memberLog struct {
	Log
	changes []consensus.Change
	err     error
}

func (l *memberLog) ChangeMembers(_ context.Context, change consensus.Change) error {
	l.changes = append(l.changes, change)
	return l.err
}

func TestMemberChanges(t *testing.T) {
	log := &memberLog{}
	f := newFixture(func(c *Config) { log.Log, c.Log = c.Log, log })
	f.services[2].log = log
	f.elect(2)
	for _, c := range []struct {
		request api.MemberRequest
		fails   error
		code    errs.Code
		retry   bool
	}{
		{request: api.MemberRequest{Action: "add-learner", Voter: "d"}, code: errs.Invalid},
		{request: api.MemberRequest{Action: "promote"}, code: errs.Invalid},
		{request: api.MemberRequest{Action: "add-learner", Voter: "d", Address: "127.0.0.1:4000"}},
		{
			request: api.MemberRequest{Action: "promote", Voter: "d"},
			fails:   errs.New(errs.Unavailable, "change membership", "d", "lags behind"),
			code:    errs.Unavailable,
			retry:   true,
		},
		{request: api.MemberRequest{Action: "promote", Voter: "d"}},
		{request: api.MemberRequest{Action: "remove", Voter: "d"}},
	} {
		log.err = c.fails
		_, err := f.service().member(ctx, c.request)
		require.Equal(t, c.code, codeOf(err), "%+v: %v", c.request, err)
		require.Equal(t, c.retry, errs.RetryAfterOf(err) > 0)
	}
	require.Len(t, log.changes, 4)
	require.Equal(t, consensus.Member{ID: "d", Address: "127.0.0.1:4000", Incarnation: consensus.BootstrapIncarnation}, log.changes[0].Member)
}
