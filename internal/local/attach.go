package local

import (
	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
)

// Attachment holds the addresses and tokens of a system whose daemons run
// elsewhere.
type Attachment struct {
	// Entries are the caller addresses "ip:port" of its daemons.
	Entries       []string
	OperatorToken config.Secret
	BackendToken  config.Secret
}

// attach makes the fleet announce itself to daemons that run elsewhere. It fails
// if the system already has serving groups or services, because the experiments
// would change them.
func (s *System) attach(a *Attachment) error {
	s.operator, s.backend = a.OperatorToken, a.BackendToken
	s.Client = ctl.NewClient(a.Entries, a.OperatorToken, "local")
	status, err := s.Client.Status()
	if err != nil {
		return errors.Wrap(err, "attach to system: get status")
	}
	if n := len(status.View.ServingGroups) + len(status.View.Services); n > 0 {
		return errors.Newf("attach to system: it already has %d serving groups and services", n)
	}
	return s.startFleet()
}

// RemovalOf returns the intent that removes the serving groups, accounts and
// services of another intent.
func RemovalOf(in api.Intent) api.Intent {
	var out api.Intent
	for _, sg := range in.ServingGroups {
		out.Remove.ServingGroups = append(out.Remove.ServingGroups, sg.Name)
	}
	for _, a := range in.Accounts {
		out.Remove.Accounts = append(out.Remove.Accounts, a.ID)
	}
	for _, svc := range in.Services {
		out.Remove.Services = append(out.Remove.Services, svc.Name)
	}
	return out
}
