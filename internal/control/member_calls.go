package control

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/errs"
)

const stepMember = "change member"

// member handles control.member. Promote and remove name an existing member; a
// new learner needs its address.
func (s *Service) member(ctx context.Context, r api.MemberRequest) (api.Empty, error) {
	var none api.Empty
	if err := checkMember(r); err != nil {
		return none, err
	}
	changer, ok := s.log.(MemberChanger)
	if !ok {
		return none, refuse(errs.Internal, stepMember, "the log does not support membership changes")
	}
	if _, err := s.lead(ctx); err != nil {
		return none, err
	}
	err := changer.ChangeMembers(ctx, memberChange(r))
	if errs.Is(err, errs.Unavailable) {
		return none, retryLater(retryMember, stepMember, "%v", err)
	}
	if err != nil {
		return none, errs.Wrap(err, stepMember, "")
	}
	level.Info(s.logger).Log("msg", "Member changed", "action", r.Action, "voter", r.Voter)
	return none, nil
}

func checkMember(r api.MemberRequest) error {
	list := checker.Check(r)
	if r.Action == string(consensus.ChangeAddLearner) && r.Address == "" {
		list.Add("address", r.Address, "the peer address of the learner")
	}
	return list.Err(stepMember, "")
}

// memberChange converts a call. A learner is added with the bootstrap
// incarnation; the log replaces it with the one that the host reports.
func memberChange(r api.MemberRequest) consensus.Change {
	return consensus.Change{
		Kind: consensus.ChangeKind(r.Action),
		Member: consensus.Member{
			ID:          r.Voter,
			Address:     r.Address,
			Incarnation: consensus.BootstrapIncarnation,
		},
	}
}
