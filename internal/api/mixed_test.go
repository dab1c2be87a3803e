package api

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Daemons refuse fields that they don't know: an upgrade stopped when a new daemon could not
// enroll with an old leader.
func TestEnrollmentHasNoFieldThatOlderDaemonsRefuse(t *testing.T) {
	raw, err := json.Marshal(EnrollRequest{Voter: "v", Address: "a", Domain: "d"})
	require.NoError(t, err)
	require.JSONEq(t, `{"voter":"v","address":"a","domain":"d"}`, string(raw))
	raw, err = json.Marshal(EnrollResponse{Members: []string{"a"}})
	require.NoError(t, err)
	require.JSONEq(t, `{"members":["a"]}`, string(raw))
}
