package logging

import (
	"bytes"
	"testing"

	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/require"
)

func TestLinesBelowTheLevelAreDropped(t *testing.T) {
	var out bytes.Buffer
	logger := For(New(&out, "warn"), "control")
	require.NoError(t, logger.Log("msg", "without level"))
	require.NoError(t, level.Info(logger).Log("msg", "info"))
	require.Empty(t, out.String())
	require.NoError(t, level.Warn(logger).Log("msg", "slow disk"))
	require.Contains(t, out.String(), `level=warn part=control msg="slow disk"`)
}
