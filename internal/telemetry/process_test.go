package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func TestProcessUsageIsExported(t *testing.T) {
	p, err := New()
	require.NoError(t, err)
	require.NoError(t, RegisterProcess(p.Meter()))
	var ctx fasthttp.RequestCtx
	p.Handler()(&ctx)
	text := string(ctx.Response.Body())
	require.Regexp(t, `(?m)^crocusway_process_cpu_seconds_total \d`, text)
	require.Regexp(t, `(?m)^crocusway_process_memory_bytes [1-9]`, text)
}

func TestProcessUsageGrows(t *testing.T) {
	before, err := ReadProcessUsage()
	require.NoError(t, err)
	after, err := ReadProcessUsage()
	require.NoError(t, err)
	require.GreaterOrEqual(t, after.CPUSeconds, before.CPUSeconds)
	require.LessOrEqual(t, after.HeapBytes, after.MemoryBytes)
}
