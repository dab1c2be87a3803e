package peer

import (
	"bytes"
	"encoding/json"

	"github.com/crocusway/crocusway/internal/errs"
)

// decodeStrict decodes JSON into v and rejects unknown fields. Empty input leaves v
// unchanged.
func decodeStrict(raw json.RawMessage, v any) error {
	if len(raw) == 0 {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &errs.Error{Code: errs.Invalid, Step: "decode params", Err: err}
	}
	return nil
}
