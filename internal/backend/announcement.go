package backend

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

// MaxAnnouncement limits an encoded announcement, in bytes.
const MaxAnnouncement = 8 << 10

const stepAnnouncement = "check announcement"

var checker = faults.NewChecker("json")

// DecodeAnnouncement decodes and validates an announcement. Unknown fields,
// trailing bytes and sizes over MaxAnnouncement are rejected.
func DecodeAnnouncement(raw []byte) (api.Announcement, error) {
	if len(raw) > MaxAnnouncement {
		return api.Announcement{}, errs.New(errs.Invalid, stepAnnouncement, "",
			"body has %d bytes, want at most %d", len(raw), MaxAnnouncement)
	}
	var a api.Announcement
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return api.Announcement{}, &errs.Error{Code: errs.Invalid, Step: stepAnnouncement, Err: err}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return api.Announcement{}, errs.New(errs.Invalid, stepAnnouncement, "", "trailing bytes")
	}
	return a, ValidateAnnouncement(a)
}

// ValidateAnnouncement returns an error with errs.Invalid that lists every
// invalid field with its value and bound.
func ValidateAnnouncement(a api.Announcement) error {
	return checker.Check(a).Err(stepAnnouncement, string(a.Host))
}
