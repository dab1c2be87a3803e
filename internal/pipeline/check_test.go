package pipeline

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// checkCut returns an error if the body of a cut stream has the terminator or no
// error event.
func checkCut(body string) error {
	if strings.Contains(body, "[DONE]") {
		return errors.New("a cut stream ends with the terminator")
	}
	if !strings.Contains(body, "event: error\n") {
		return errors.New("a cut stream ends without an error event")
	}
	return nil
}
