// Command crocusway serves large models whose replicas span several hosts. It
// contains all roles of the daemon, the operator's client, a demo and the
// benchmark tool.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/hangup"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 || args[0] != platformName {
		hangup.Reset()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name:       "crocusway",
		ShortUsage: "crocusway COMMAND [flags] [arguments]",
		ShortHelp:  "serve large models whose replicas span several hosts",
		UsageFunc:  config.Usage,
		Subcommands: []*ffcli.Command{
			serveCommand(),
			ctl.Command(os.Stdout),
			demoCommand(),
			benchCommand(),
			platformCommand(),
			recoverCommand(),
			soakCommand(),
			versionCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		return report(err, true)
	}
	return report(root.Run(ctx), false)
}

// report prints an error and returns its exit code. Every error while parsing is a
// usage error.
func report(err error, parsing bool) int {
	var invalid *config.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case parsing, errors.As(err, &invalid), errors.Is(err, ctl.ErrUsage):
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(os.Stderr, "crocusway:", err)
		return exitFailure
	}
}
