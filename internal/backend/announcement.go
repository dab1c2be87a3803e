package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// MaxAnnouncement bounds an encoded announcement, in bytes.
const MaxAnnouncement = 8 << 10

const stepAnnouncement = "check announcement"

var announcementValidator = newValidator()

// newValidator names fields as they appear in JSON.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// DecodeAnnouncement decodes and validates an announcement. Unknown fields,
// trailing bytes and sizes over MaxAnnouncement are refused.
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
// faulty field with its value and bound.
func ValidateAnnouncement(a api.Announcement) error {
	err := announcementValidator.Struct(a)
	if err == nil {
		return nil
	}
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return &errs.Error{Code: errs.Internal, Step: stepAnnouncement, Peer: string(a.Host), Err: err}
	}
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		texts = append(texts, faultText(f))
	}
	return errs.New(errs.Invalid, stepAnnouncement, string(a.Host), "%s", strings.Join(texts, "; "))
}

func faultText(f validator.FieldError) string {
	bound := f.Tag()
	if f.Param() != "" {
		bound += "=" + f.Param()
	}
	return fmt.Sprintf("%s is %s, want %s", f.Field(), valueText(f.Value()), bound)
}

// valueText bounds a value that came from outside.
func valueText(v any) string {
	const limit = 80
	text := fmt.Sprintf("%#v", v)
	if s := reflect.ValueOf(v); s.Kind() == reflect.String {
		text = fmt.Sprintf("%q", s.String())
	}
	if len(text) > limit {
		return text[:limit] + "..."
	}
	return text
}
