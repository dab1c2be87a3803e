package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/region"
)

// regionFlags holds the flags of the subcommands for several regions.
type regionFlags struct {
	commonFlags
	regions string
	change  string
	intent  string
	wait    time.Duration
}

// regionRun is the input of a subcommand for several regions.
type regionRun struct {
	flags   *regionFlags
	regions region.Regions
	runner  *region.Runner
}

func (b builder) regionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "region",
		ShortUsage: "crocusway ctl region COMMAND [flags]",
		ShortHelp:  "apply one change to several regions, region by region",
		UsageFunc:  config.Usage,
		Subcommands: []*ffcli.Command{
			b.buildRegion("plan", "request a plan from every region that has no valid one", planRegions),
			b.buildRegion("confirm", "confirm region by region, until one refuses", confirmRegions),
			b.buildRegion("reject", "reject every plan of this change", rejectRegions),
			b.buildRegion("status", "show all regions and their differences", overviewRegions),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (b builder) buildRegion(name, help string, act func(*regionRun) (any, error)) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	f := &regionFlags{}
	f.registerCommon(fs)
	fs.StringVar(&f.regions, "regions", "regions.json", "file with the regions and their daemons' caller addresses")
	fs.StringVar(&f.change, "change", "change.json", "file that stores the progress of the change")
	fs.StringVar(&f.intent, "f", "", "file with the intent for several regions; plan starts a new change with it")
	fs.DurationVar(&f.wait, "wait", 10*time.Second, "longest wait in each region for the change to be in force")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "crocusway ctl region " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 0 {
				return errors.Mark(errors.Newf("%s: %d arguments, must be 0", name, len(args)), ErrUsage)
			}
			run, err := f.open()
			if err != nil {
				return err
			}
			result, err := act(run)
			if err != nil {
				return err
			}
			return b.print(result, f.json)
		},
	}
}

// open reads the regions file and creates a client for each region.
func (f *regionFlags) open() (*regionRun, error) {
	regions, err := region.ReadRegions(f.regions)
	if err != nil {
		return nil, err
	}
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	runner := &region.Runner{
		Operators: make(map[region.Name]region.Operator, len(regions.Regions)),
		Save:      func(c region.Change) error { return region.WriteChange(f.change, c) },
	}
	for _, r := range regions.Regions {
		runner.Operators[r.Name] = NewClient(r.Entries, token, f.operator)
	}
	return &regionRun{flags: f, regions: regions, runner: runner}, nil
}

// planRegions starts a change, or continues the one in the change file.
func planRegions(r *regionRun) (any, error) {
	if r.flags.intent == "" {
		change, err := region.ReadChange(r.flags.change)
		if err != nil {
			return nil, err
		}
		return r.runner.Plan(change)
	}
	if old, err := region.ReadChange(r.flags.change); err == nil && !old.Done() {
		return nil, errors.Mark(errors.Newf("change: %s holds an unfinished change, confirm or reject it first", r.flags.change), ErrUsage)
	}
	intent, err := region.ReadIntent(r.flags.intent, r.regions)
	if err != nil {
		return nil, err
	}
	return r.runner.Plan(region.NewChange(intent, r.regions))
}

func confirmRegions(r *regionRun) (any, error) {
	change, err := region.ReadChange(r.flags.change)
	if err != nil {
		return nil, err
	}
	return r.runner.Confirm(change, r.flags.wait)
}

func rejectRegions(r *regionRun) (any, error) {
	change, err := region.ReadChange(r.flags.change)
	if err != nil {
		return nil, err
	}
	return r.runner.Reject(change)
}

func overviewRegions(r *regionRun) (any, error) {
	return r.runner.Overview(r.regions), nil
}

func printChange(w io.Writer, c region.Change) error {
	rows := make([][]string, 0, len(c.Steps))
	for _, s := range c.Steps {
		rows = append(rows, []string{
			string(s.Region),
			string(s.State),
			strconv.FormatUint(uint64(s.Plan), 10),
			strconv.Itoa(len(s.Consequences)),
			yesNo(s.Reached),
			s.Reason,
		})
	}
	if err := table(w, []string{"Region", "State", "Plan", "Effects", "Reached", "Reason"}, rows); err != nil {
		return err
	}
	for _, s := range c.Steps {
		for _, e := range s.Consequences {
			if _, err := fmt.Fprintf(w, "%s: %s %s: %s\n", s.Region, e.Kind, e.Subject, e.Detail); err != nil {
				return err
			}
		}
	}
	return nil
}

func printOverview(w io.Writer, o region.Overview) error {
	rows := make([][]string, 0, len(o.Regions))
	for _, s := range o.Regions {
		rows = append(rows, []string{
			string(s.Region),
			yesNo(s.Reached),
			string(s.Leader),
			fmt.Sprintf("%d of %d", s.LiveEntries, s.Entries),
			fmt.Sprintf("%d of %d", s.Ready, s.Wanted),
			strings.Join(s.Drained, ", "),
			s.Reason,
		})
	}
	header := []string{"Region", "Reached", "Leader", "Live entries", "Ready replicas", "Drained", "Reason"}
	if err := table(w, header, rows); err != nil {
		return err
	}
	for _, d := range o.Differences {
		if _, err := fmt.Fprintf(w, "%s differs in %v\n", d.Item, d.Regions); err != nil {
			return err
		}
	}
	return nil
}

func yesNo(reached bool) string {
	if reached {
		return "yes"
	}
	return "no"
}
