package ctl

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/faults"
)

// TestExampleIntentsAreValid reads every example intent as "ctl plan -f" does.
func TestExampleIntentsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/intent.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		intent, err := readIntent(file)
		require.NoError(t, err, file)
		require.Empty(t, faults.NewChecker("json").Check(intent), file)
	}
}
