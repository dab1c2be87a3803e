package region

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// State is the progress of a change in one region.
type State string

// States of a change in one region.
const (
	// Pending has no plan yet: none was requested, or the region was unreachable.
	Pending State = "pending"
	// Planned has a plan that awaits a decision.
	Planned State = "planned"
	// Refused requires a new plan: the region refused the intent or the decision.
	Refused State = "refused"
	// Accepted has a confirmed plan.
	Accepted State = "accepted"
	// Rejected was rejected by the operator.
	Rejected State = "rejected"
)

// changeVersion is the version of the change file.
const changeVersion = 1

// Change is the progress of one change in several regions.
type Change struct {
	Version int    `json:"version"`
	Steps   []Step `json:"steps"`
}

// Step is the progress of a change in one region.
type Step struct {
	Region Name       `json:"region"`
	State  State      `json:"state"`
	Intent api.Intent `json:"intent"`
	// Key is the idempotency key of the plan.
	Key string `json:"key"`
	// Plan is the number of the plan in that region; 0 if there is none.
	Plan         api.PlanID        `json:"plan,omitempty"`
	Consequences []api.Consequence `json:"consequences,omitempty"`
	// Revision is that of the accepted change.
	Revision api.Revision `json:"revision,omitempty"`
	// InForce is set once every entry of the region has applied the change.
	InForce bool `json:"in_force,omitempty"`
	// Reached is false if the last call to the region got no answer.
	Reached bool `json:"reached"`
	// Reason is the error of the last call, empty on success.
	Reason string `json:"reason,omitempty"`
}

// NewChange splits an intent into steps for the regions that it affects, in the
// order of the regions.
func NewChange(in Intent, regions Regions) Change {
	c := Change{Version: changeVersion}
	for _, r := range regions.Regions {
		intent := in.forRegion(r.Name)
		if isEmpty(intent) {
			continue
		}
		c.Steps = append(c.Steps, Step{Region: r.Name, State: Pending, Intent: intent, Key: newKey()})
	}
	return c
}

// Done reports whether every step is accepted or rejected.
func (c Change) Done() bool {
	for _, s := range c.Steps {
		if s.State != Accepted && s.State != Rejected {
			return false
		}
	}
	return true
}

// ReadChange reads a change file. It fails with errs.Invalid for another format.
func ReadChange(file string) (Change, error) {
	var c Change
	if err := readJSON(file, &c); err != nil {
		return Change{}, err
	}
	if c.Version != changeVersion {
		return Change{}, errs.New(errs.Invalid, "read change "+file, "", "version is %d, must be %d", c.Version, changeVersion)
	}
	return c, nil
}

// WriteChange replaces a change file atomically, so that an interrupted client
// leaves either the old or the new one.
func WriteChange(file string, c Change) error {
	const step = "write change file"
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return errs.Wrap(err, step, "")
	}
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*.tmp")
	if err != nil {
		return errs.Wrap(err, step, "")
	}
	defer func() { _ = os.Remove(tmp.Name()) }()
	if err := writeAndSync(tmp, data); err != nil {
		return errs.Wrap(err, step, "")
	}
	return errs.Wrap(os.Rename(tmp.Name(), file), step, "")
}

func writeAndSync(f *os.File, data []byte) error {
	_, err := f.Write(append(data, '\n'))
	if syncErr := f.Sync(); err == nil {
		err = syncErr
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
