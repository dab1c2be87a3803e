package peer

import (
	"fmt"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// engineLogger adapts a go-kit logger to the logger of gnet.
type engineLogger struct{ logger log.Logger }

func (l engineLogger) Debugf(format string, args ...any) {
	_ = level.Debug(l.logger).Log("msg", fmt.Sprintf(format, args...))
}

// Infof logs at debug level, since gnet logs routine events at info level.
func (l engineLogger) Infof(format string, args ...any) { l.Debugf(format, args...) }

func (l engineLogger) Warnf(format string, args ...any) {
	_ = level.Warn(l.logger).Log("msg", fmt.Sprintf(format, args...))
}

func (l engineLogger) Errorf(format string, args ...any) {
	_ = level.Error(l.logger).Log("msg", fmt.Sprintf(format, args...))
}

func (l engineLogger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
