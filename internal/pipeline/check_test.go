package pipeline

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// checkCut reports an error when the body of a cut stream looks whole or does
// not name the cut.
func checkCut(body string) error {
	if strings.Contains(body, "[DONE]") {
		return errors.New("a cut stream ends with the terminator")
	}
	if !strings.Contains(body, "event: error\n") {
		return errors.New("a cut stream ends without an error event")
	}
	return nil
}
