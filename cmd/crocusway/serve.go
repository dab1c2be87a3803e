package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/daemon"
	"github.com/crocusway/crocusway/internal/logging"
)

func serveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	settings := config.NewServeFlags(fs)
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "crocusway serve [flags]",
		ShortHelp:  "run a daemon with one or both roles",
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, settings)
		},
	}
}

func serve(ctx context.Context, flags *config.ServeFlags) error {
	settings, err := flags.Settings()
	if err != nil {
		return err
	}
	d, err := daemon.Listen(*settings, logging.New(os.Stderr, settings.LogLevel))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
