package control

import (
	"slices"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// quarantineThreshold is the number of counted replica losses after which a
// request is quarantined.
const quarantineThreshold = 2

// death is the loss of one generation of a group.
type death struct {
	Group   api.GroupID `cbor:"1,keyasint"`
	Fencing api.Fencing `cbor:"2,keyasint"`
}

// quarantineRow is a suspected or quarantined request.
type quarantineRow struct {
	Quarantine api.Quarantine `cbor:"1,keyasint"`
	Deaths     []death        `cbor:"2,keyasint"`
	// ExpiresUnixMillis is when the row is deleted.
	ExpiresUnixMillis int64 `cbor:"3,keyasint"`
	// TrialUntilUnixMillis is when a trial without a result ends, FailedTrials the number
	// of trials that crashed a server. Both are used for quarantines of keys only.
	TrialUntilUnixMillis int64 `cbor:"4,keyasint,omitempty"`
	FailedTrials         int   `cbor:"5,keyasint,omitempty"`
}

func (s *State) quarantineList() []api.Quarantine {
	return mapRows(s.quarantines.list(), func(row quarantineRow) api.Quarantine { return row.Quarantine })
}

// QuarantineLimits bounds suspects and quarantined requests.
type QuarantineLimits struct {
	// MaxRows is the largest number of fingerprints.
	MaxRows int `cbor:"1,keyasint"`
	// SuspectMillis is how long a suspect is kept after its last counted death.
	SuspectMillis int64 `cbor:"2,keyasint"`
	// QuarantineMillis is how long a quarantined request is refused.
	QuarantineMillis int64 `cbor:"3,keyasint"`
	// HoldMillis is the time until the first trial of quarantined keys. Each failed trial
	// doubles it, up to QuarantineMillis.
	HoldMillis int64 `cbor:"4,keyasint,omitempty"`
	// TrialMillis is how long a trial may take.
	TrialMillis int64 `cbor:"5,keyasint,omitempty"`
}

// suspectCommand counts the death of a replica against a request.
type suspectCommand struct {
	Suspect api.SuspectRequest `cbor:"1,keyasint"`
	Limits  QuarantineLimits   `cbor:"2,keyasint"`
}

func (*suspectCommand) kind() commandKind { return kindSuspect }

func (c *suspectCommand) apply(t *tx) (any, error) {
	id := c.Suspect.Fingerprint
	row, known := t.quarantines.get(id)
	if known && !c.counts(row) {
		return row.Quarantine, nil
	}
	if !known {
		if err := t.makeQuarantineRoom(c.Limits.MaxRows); err != nil {
			return nil, err
		}
	}
	row.Deaths = append(slices.Clone(row.Deaths), death{Group: c.Suspect.Group, Fencing: c.Suspect.Fencing})
	row.Quarantine.Fingerprint = id
	row.Quarantine.Deaths = len(row.Deaths)
	row.ExpiresUnixMillis = t.now + c.Limits.SuspectMillis
	if len(row.Deaths) >= quarantineThreshold {
		row.ExpiresUnixMillis = t.now + c.Limits.QuarantineMillis
		row.Quarantine.UntilUnixMillis = row.ExpiresUnixMillis
	}
	t.quarantines.put(id, row)
	t.markChanged(tableQuarantines, id)
	return row.Quarantine, nil
}

// counts reports whether the death counts against a known suspect. A second
// death is not attributed to a request that ran beside others.
func (c *suspectCommand) counts(row quarantineRow) bool {
	if len(row.Deaths) >= quarantineThreshold || !c.Suspect.Alone {
		return false
	}
	return !slices.Contains(row.Deaths, death{Group: c.Suspect.Group, Fencing: c.Suspect.Fencing})
}

// makeQuarantineRoom makes room by deleting the suspect that expires first. A
// quarantined request is never deleted early.
func (t *tx) makeQuarantineRoom(maxRows int) error {
	if t.quarantines.size() < maxRows {
		return nil
	}
	var oldest *quarantineRow
	for _, row := range t.quarantines.list() {
		if row.Quarantine.UntilUnixMillis != 0 {
			continue
		}
		if oldest == nil || row.ExpiresUnixMillis < oldest.ExpiresUnixMillis {
			oldest = &row
		}
	}
	if oldest == nil {
		return refuse(errs.Full, "quarantine request", "%d requests are quarantined", maxRows)
	}
	t.dropQuarantine(oldest.Quarantine.Fingerprint)
	return nil
}

func (t *tx) dropQuarantine(fingerprint string) {
	t.quarantines.del(fingerprint)
	t.markChanged(tableQuarantines, fingerprint)
}
