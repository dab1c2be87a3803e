package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/bench"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/local"
)

// benchFlags holds the flags of "crocusway bench".
type benchFlags struct {
	experiment string
	preset     string
	policy     string
	seed       int64
	seeds      int
	duration   time.Duration
	entries    string
	hosts      string
	json       bool
	daemons    string
	operator   string
	backend    string
}

func benchCommand() *ffcli.Command {
	var f benchFlags
	fs := flag.NewFlagSet("bench", flag.ContinueOnError)
	fs.StringVar(&f.experiment, "experiment", "", "one of "+strings.Join(experimentNames(), ", "))
	fs.StringVar(&f.preset, "preset", string(bench.PresetNilecraft), "deployment: nilecraft, tabrak")
	fs.StringVar(&f.policy, "policy", string(bench.PolicyBoth), "ours, baseline or both")
	fs.Int64Var(&f.seed, "seed", 1, "first seed")
	fs.IntVar(&f.seeds, "seeds", 3, "number of seeds, 1 to 100")
	fs.DurationVar(&f.duration, "duration", 10*time.Second, "length of a run in real time, 1s to 10m")
	fs.StringVar(&f.entries, "entries", "", "role-cost: comma-separated numbers of entries, each one of 4,16,32,83; empty: the experiment's default")
	fs.StringVar(&f.hosts, "hosts", "", "role-cost: comma-separated numbers of announcing hosts, each one of 0,600,4000; empty: the experiment's default")
	fs.StringVar(&f.daemons, "daemons", "", "comma-separated caller addresses of running daemons to use instead of starting some; one in each of the failure domains domain-a, domain-b, domain-c; the system must have no serving groups or services")
	fs.StringVar(&f.operator, "operator-token-file", "", "with --daemons: file with the bearer token of operators; or "+config.EnvName("operator-token")+" with the value")
	fs.StringVar(&f.backend, "backend-token-file", "", "with --daemons: file with the bearer token of backend servers; or "+config.EnvName("backend-token")+" with the value")
	fs.BoolVar(&f.json, "json", false, "print one JSON object")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "crocusway bench --experiment NAME [flags]",
		ShortHelp:  "measure the system against its targets and a baseline",
		LongHelp:   experimentHelp(),
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return runBench(ctx, f, os.Stdout) },
	}
}

func experimentNames() []string {
	all := bench.Experiments()
	names := make([]string, 0, len(all))
	for _, e := range all {
		names = append(names, e.Name)
	}
	return names
}

func experimentHelp() string {
	var b strings.Builder
	b.WriteString("Experiments\n")
	for _, e := range bench.Experiments() {
		_, _ = fmt.Fprintf(&b, "  %s: %s\n", e.Name, e.Summary)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func runBench(ctx context.Context, f benchFlags, out io.Writer) error {
	experiment, found := bench.Find(f.experiment)
	if !found {
		return errors.Mark(errors.Newf("experiment: value %q, must be one of %s", f.experiment, strings.Join(experimentNames(), ", ")), ctl.ErrUsage)
	}
	options, err := f.options()
	if err != nil {
		return err
	}
	report, err := bench.Run(ctx, experiment, options, os.Stderr)
	if err != nil {
		return err
	}
	if err := printReport(out, report, f.json); err != nil {
		return err
	}
	if report.Missed() {
		return bench.ErrTargetMissed
	}
	return nil
}

func (f benchFlags) options() (bench.Options, error) {
	if f.seeds < 1 || f.seeds > 100 {
		return bench.Options{}, errors.Mark(errors.Newf("seeds: value %d, must be 1 to 100", f.seeds), ctl.ErrUsage)
	}
	o := bench.Options{
		Preset:   bench.Preset(f.preset),
		Policy:   bench.Policy(f.policy),
		Duration: f.duration,
	}
	var err error
	if o.Entries, err = parseSizes("entries", f.entries); err != nil {
		return bench.Options{}, err
	}
	if o.Hosts, err = parseSizes("hosts", f.hosts); err != nil {
		return bench.Options{}, err
	}
	if o.Attach, err = f.attachment(); err != nil {
		return bench.Options{}, err
	}
	for i := range f.seeds {
		o.Seeds = append(o.Seeds, f.seed+int64(i))
	}
	if err := config.Validate(o); err != nil {
		return bench.Options{}, err
	}
	return o, nil
}

// attachment returns the addresses and tokens of running daemons, nil if none are
// named.
func (f benchFlags) attachment() (*local.Attachment, error) {
	if f.daemons == "" {
		return nil, nil //nolint:nilnil // nil means that no daemons are named
	}
	a := &local.Attachment{Entries: strings.Split(f.daemons, ",")}
	var err error
	if a.OperatorToken, err = config.ReadSecret("operator-token", f.operator); err != nil {
		return nil, err
	}
	if a.BackendToken, err = config.ReadSecret("backend-token", f.backend); err != nil {
		return nil, err
	}
	if a.OperatorToken == "" || a.BackendToken == "" {
		return nil, errors.Mark(errors.New("operator-token, backend-token: empty, must be set with --daemons"), ctl.ErrUsage)
	}
	return a, nil
}

// parseSizes parses a comma-separated list of integers.
func parseSizes(name, list string) ([]int, error) {
	var out []int
	for field := range strings.SplitSeq(list, ",") {
		if field == "" {
			continue
		}
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, errors.Mark(errors.Newf("%s: value %q, must be a list of numbers", name, list), ctl.ErrUsage)
		}
		out = append(out, n)
	}
	return out, nil
}

func printReport(out io.Writer, report bench.Report, asJSON bool) error {
	if asJSON {
		return ctl.PrintJSON(out, report)
	}
	return bench.Print(out, report)
}
