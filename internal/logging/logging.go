// Package logging creates the loggers of crocusway. Every component logs with its
// name as a fixed "part" field.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines to w, at or above min, one of
// "debug", "info", "warn" and "error"; any other value means "info".
// A line without a level is logged as "info".
func New(w io.Writer, min string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(min, level.InfoValue())))
	return level.NewInjector(logger, level.InfoValue())
}

// For returns a logger for one component of the daemon.
func For(logger log.Logger, prefix string) log.Logger {
	return log.WithPrefix(logger, "part", prefix)
}

// Discard returns a logger that drops all lines.
func Discard() log.Logger { return log.NewNopLogger() }
