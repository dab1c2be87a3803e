package control

import (
	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// leadCommand starts the leadership of a term. After it, nothing that an
// earlier leadership of the same voter decided on unreplicated state can be
// committed.
type leadCommand struct {
	Term uint64 `cbor:"1,keyasint"`
}

func (*leadCommand) kind() commandKind { return kindLead }

func (c *leadCommand) apply(t *tx) (any, error) {
	if err := t.guards.term(t, c.Term); err != nil {
		return nil, err
	}
	t.counters.setTerm(c.Term)
	return api.Empty{}, nil
}

// checkTerm refuses commands that an earlier leadership decided.
func checkTerm(t *tx, term uint64) error {
	if newest := t.counters.load().Term; term < newest {
		return refuse(errs.Stale, "check term", "term %d is older than %d", term, newest)
	}
	return nil
}
