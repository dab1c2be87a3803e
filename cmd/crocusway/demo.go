package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/demo"
	"github.com/crocusway/crocusway/internal/logging"
)

// demoFlags holds the flags of "crocusway demo".
type demoFlags struct {
	json     bool
	stay     bool
	logLevel string
}

func demoCommand() *ffcli.Command {
	var f demoFlags
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	fs.BoolVar(&f.json, "json", false, "print one JSON object")
	fs.BoolVar(&f.stay, "stay", false, "keep running and print commands to try")
	fs.StringVar(&f.logLevel, "log-level", "error", "debug, info, warn or error, on standard error")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "crocusway demo [flags]",
		ShortHelp:  "run all roles and simulated backend servers on loopback and print a report",
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return runDemo(ctx, f, os.Stdout) },
	}
}

func runDemo(ctx context.Context, f demoFlags, out io.Writer) error {
	d, err := demo.Start(logging.New(os.Stderr, f.logLevel))
	if err != nil {
		return err
	}
	defer d.System.Close()
	report, err := d.Run(ctx)
	if f.json {
		err = errors.CombineErrors(err, ctl.PrintJSON(out, report))
	} else {
		err = errors.CombineErrors(err, demo.Print(out, report))
	}
	if err != nil || !f.stay {
		return err
	}
	if err := d.PrintHints(out); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
