package peer

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) {
	testkit.Configure()
	// gnet keeps one process-wide worker pool, which it purges in background.
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}
