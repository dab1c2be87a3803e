package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/soak"
)

func soakCommand() *ffcli.Command {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	var cfg soak.Config
	seeds, jobs := 4, 1
	fs.Uint64Var(&cfg.Seed, "seed", 0, "first seed; 0: a random one, which is printed")
	fs.IntVar(&seeds, "seeds", seeds, "number of seeds to play, one after the other")
	fs.IntVar(&jobs, "jobs", jobs, "number of seeds that are played at the same time")
	fs.IntVar(&cfg.Controls, "controls", 3, "number of control daemons, 3 to 30")
	fs.IntVar(&cfg.Entries, "entries", 5, "number of entries, 1 to 200")
	fs.IntVar(&cfg.Engines, "engines", 14, "number of stand-in model engines")
	fs.IntVar(&cfg.Callers, "callers", 0, "number of concurrent callers; 0: 16, or 48 with --streams")
	fs.StringVar(&cfg.Binary, "binary", "", "binary under test; empty: this one")
	fs.BoolVar(&cfg.Streams, "streams", false, "play long answers around planned work instead of the mode of the seed")
	parts := fs.String("parts", "", fmt.Sprintf("with --streams, the parts that are switched on, separated by commas; empty: all of %v", soak.Parts()))
	fs.IntVar(&cfg.Busy, "busy", 0, "number of processes beside the daemons that use a processor each")
	fs.DurationVar(&cfg.Length, "length", 12*time.Second, "how long faults are injected")
	fs.StringVar(&cfg.Dir, "dir", filepath.Join(os.TempDir(), "crocusway-soak"), "folder for logs, kept for seeds with findings")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "crocusway soak [flags]",
		ShortHelp:  "run the daemons as processes under random faults and check what callers see",
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if cfg.Controls < 3 || cfg.Entries < 1 || seeds < 1 || jobs < 1 {
				return errors.Newf("controls = %d, entries = %d, seeds = %d, jobs = %d: must be 3, 1, 1 and 1 or more",
					cfg.Controls, cfg.Entries, seeds, jobs)
			}
			for _, name := range strings.FieldsFunc(*parts, func(r rune) bool { return r == ',' }) {
				if !slices.Contains(soak.Parts(), soak.Part(name)) {
					return errors.Newf("parts = %s: %s is none of %v", *parts, name, soak.Parts())
				}
				cfg.Parts = append(cfg.Parts, soak.Part(name))
			}
			if cfg.Callers == 0 {
				cfg.Callers = defaultCallers(cfg.Streams)
			}
			if cfg.Seed == 0 {
				cfg.Seed = uint64(rand.Uint32())
			}
			return runSoak(ctx, cfg, seeds, jobs)
		},
	}
}

func defaultCallers(streams bool) int {
	if streams {
		return 48
	}
	return 16
}

// runSoak plays consecutive seeds and fails if one of them has findings.
func runSoak(ctx context.Context, cfg soak.Config, seeds, jobs int) error {
	if cfg.Binary == "" {
		binary, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find the binary under test")
		}
		cfg.Binary = binary
	}
	var mu sync.Mutex
	var failed []uint64
	slots := make(chan int, jobs)
	for job := range jobs {
		slots <- job
	}
	var all sync.WaitGroup
	network := os.Getpid() % 1000 * 20
	for i := range seeds {
		job := <-slots
		run := cfg
		run.Seed, run.Network = cfg.Seed+uint64(i), network+job%20
		run.Dir = filepath.Join(cfg.Dir, fmt.Sprintf("%d-%d", os.Getpid(), run.Seed))
		all.Go(func() {
			defer func() { slots <- job }()
			result, err := soak.Run(ctx, run)
			mu.Lock()
			defer mu.Unlock()
			if !printResult(run, result, err) {
				failed = append(failed, run.Seed)
			}
		})
	}
	all.Wait()
	_, _ = fmt.Printf("%d seeds played, %d with findings\n", seeds, len(failed))
	if len(failed) > 0 {
		slices.Sort(failed)
		return errors.Newf("findings at seeds %v, logs below %s", failed, cfg.Dir)
	}
	return nil
}

// printResult prints one run and reports whether it has no findings.
func printResult(run soak.Config, r soak.Result, err error) bool {
	if err != nil {
		_, _ = fmt.Printf("seed %d: not played to its end: %v (logs: %s)\n", run.Seed, err, run.Dir)
		return false
	}
	_, _ = fmt.Printf("seed %d %s: %d findings, %.3f of the requests served in the calm\n", r.Seed, r.Mode, len(r.Findings), r.Calm)
	for _, f := range r.Findings {
		_, _ = fmt.Println("  ", f)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		_, _ = fmt.Printf("   %-28s %d\n", name, r.Counts[name])
	}
	for _, line := range r.Cuts {
		_, _ = fmt.Println("   cut, around", line)
	}
	if err := r.RemoveLogs(); err != nil {
		_, _ = fmt.Println("   logs were not removed:", err)
	}
	return len(r.Findings) == 0
}
