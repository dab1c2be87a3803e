package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/recovery"
)

// recoverFlags holds the flags of "crocusway recover".
type recoverFlags struct {
	DataDir  string `flag:"data-dir" validate:"required"`
	Name     string `flag:"name"     validate:"required"`
	Operator string `flag:"operator" validate:"required"`
	yes      bool
	json     bool
}

const recoverHelp = `Use it only when a majority of the voters is permanently lost, on the data folder
of the remaining voter with the highest last_index, while its daemon is stopped.
Changes that only the lost voters had accepted are lost. Never restart a lost
voter on its old data folder: empty it first. Without --yes, the command only
reports.`

func recoverCommand() *ffcli.Command {
	fs := flag.NewFlagSet("recover", flag.ContinueOnError)
	f := &recoverFlags{}
	fs.StringVar(&f.DataDir, "data-dir", "", "data folder of the remaining voter")
	fs.StringVar(&f.Name, "name", "", "name of the remaining voter")
	fs.StringVar(&f.Operator, "operator", os.Getenv("USER"), "name of the operator in the history")
	fs.BoolVar(&f.yes, "yes", false, "perform the recovery")
	fs.BoolVar(&f.json, "json", false, "print one JSON value")
	return &ffcli.Command{
		Name:       "recover",
		ShortUsage: "crocusway recover --data-dir DIR --name NAME [--yes]",
		ShortHelp:  "recover from the loss of a majority with one remaining voter",
		LongHelp:   recoverHelp,
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec:       func(context.Context, []string) error { return runRecover(os.Stdout, f) },
	}
}

func runRecover(out io.Writer, f *recoverFlags) error {
	if err := config.Validate(f); err != nil {
		return err
	}
	report, err := recovery.Run(recovery.Options{
		DataDir:  f.DataDir,
		Voter:    api.VoterID(f.Name),
		Operator: f.Operator,
		Apply:    f.yes,
		Now:      time.Now(),
	})
	if err != nil {
		return err
	}
	if f.json {
		return json.NewEncoder(out).Encode(report)
	}
	return printRecovery(out, report)
}

func printRecovery(out io.Writer, r recovery.Report) error {
	verdict := "Nothing was written. Run again with --yes to perform the recovery."
	if r.Applied {
		verdict = "Recovered. Start the voter, then the others with empty data folders and without --bootstrap."
	}
	_, err := fmt.Fprintf(out, "voter        %s\nterm         %d, then %d\nlast index   %d\nuncommitted  %d\ngiven up     %v\n%s\n",
		r.Voter, r.Term, r.NewTerm, r.LastIndex, r.Uncommitted, r.Lost, verdict)
	return err
}
