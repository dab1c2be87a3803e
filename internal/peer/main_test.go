package peer

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) {
	testkit.Configure()
	// gnet keeps a process-wide worker pool with background goroutines.
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}
