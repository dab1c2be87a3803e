package config

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3"
	"github.com/stretchr/testify/require"
)

// TestExamplesAreValid loads every example as the daemon does, with secrets from
// the environment instead of files.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.env")
	require.NoError(t, err)
	require.Len(t, files, 8, "four hosts for each of two deployments")
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file))+"/"+filepath.Base(file), func(t *testing.T) {
			setEnv(t)
			raw, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, line := range strings.Split(string(raw), "\n") {
				name, value, found := strings.Cut(line, "=")
				if !found || strings.HasPrefix(line, "#") || strings.HasSuffix(name, "_FILE") {
					continue
				}
				t.Setenv(name, value)
			}
			fs := flag.NewFlagSet("serve", flag.ContinueOnError)
			f := NewServeFlags(fs)
			require.NoError(t, ff.Parse(fs, nil, ff.WithEnvVarPrefix(EnvPrefix)))
			s, err := f.Settings()
			require.NoError(t, err)
			require.Equal(t, strings.TrimSuffix(filepath.Base(file), ".env"), s.Name)
		})
	}
}
