package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/errs"
)

// ErrUsage marks errors in arguments or settings.
var ErrUsage = errors.New("usage")

// commonFlags holds the flags of every subcommand.
type commonFlags struct {
	entries   string
	tokenFile string
	operator  string
	json      bool
}

func (c *commonFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&c.entries, "entries", "127.0.0.1:7200", "comma-separated caller addresses of daemons, tried in order")
	c.registerCommon(fs)
}

// registerCommon registers the flags that commands for one and for several regions
// share.
func (c *commonFlags) registerCommon(fs *flag.FlagSet) {
	fs.StringVar(&c.tokenFile, "operator-token-file", "", "file with the bearer token of operators; or "+config.EnvName("operator-token")+" with the value")
	fs.StringVar(&c.operator, "operator", os.Getenv("USER"), "name of the operator in the history")
	fs.BoolVar(&c.json, "json", false, "print one JSON value")
}

func (c *commonFlags) client() (*Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	return NewClient(strings.Split(c.entries, ","), token, c.operator), nil
}

func (c *commonFlags) token() (config.Secret, error) {
	token, err := config.ReadSecret("operator-token", c.tokenFile)
	if err != nil {
		return "", err
	}
	if token == "" {
		return "", errors.Mark(errors.Newf("operator-token: value \"\", must be set by --operator-token-file or %s", config.EnvName("operator-token")), ErrUsage)
	}
	return token, nil
}

// action runs one subcommand and returns the result to print.
type action func(client *Client, args []string) (any, error)

// builder creates subcommands that write to out.
type builder struct {
	out io.Writer
}

// Command returns "crocusway ctl" with its subcommands.
func Command(out io.Writer) *ffcli.Command {
	b := builder{out: out}
	return &ffcli.Command{
		Name:       "ctl",
		ShortUsage: "crocusway ctl COMMAND [flags] [arguments]",
		ShortHelp:  "operate a running system",
		UsageFunc:  config.Usage,
		Subcommands: []*ffcli.Command{
			b.planCommand(),
			b.decideCommand("confirm", "confirm a plan and apply it", true),
			b.decideCommand("reject", "reject a plan", false),
			b.simpleCommand("plans", "list the plans, newest first", func(c *Client, _ []string) (any, error) { return c.Plans() }),
			b.simpleCommand("status", "show the state of the system", func(c *Client, _ []string) (any, error) { return c.Status() }),
			b.historyCommand(),
			b.dumpCommand(),
			b.domainCommand("drain", "drain a failure domain", api.DomainDrained),
			b.domainCommand("restore", "restore a drained failure domain", api.DomainActive),
			b.memberCommand(),
			b.regionCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// build creates a subcommand that parses its flags, creates the client, runs act
// and prints the result.
func (b builder) build(name, usage, help string, argCount int, fs *flag.FlagSet, act action) *ffcli.Command {
	var c commonFlags
	c.register(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: strings.TrimSpace("crocusway ctl " + name + " [flags] " + usage),
		ShortHelp:  help,
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec: func(_ context.Context, args []string) error {
			if len(args) != argCount {
				return errors.Mark(errors.Newf("%s: %d arguments, must be %d", name, len(args), argCount), ErrUsage)
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			result, err := act(client, args)
			if err != nil {
				return err
			}
			return b.print(result, c.json)
		},
	}
}

func (b builder) simpleCommand(name, help string, act action) *ffcli.Command {
	return b.build(name, "", help, 0, flag.NewFlagSet(name, flag.ContinueOnError), act)
}

func (b builder) planCommand() *ffcli.Command {
	fs := flag.NewFlagSet("plan", flag.ContinueOnError)
	file := fs.String("f", "", "file with the intent as JSON; - for standard input")
	return b.build("plan", "-f FILE", "submit an intent and get a plan", 0, fs, func(c *Client, _ []string) (any, error) {
		intent, err := readIntent(*file)
		if err != nil {
			return nil, err
		}
		return c.Plan(intent)
	})
}

func (b builder) decideCommand(name, help string, confirm bool) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	wait := fs.Duration("wait", 10*time.Second, "longest wait for the change to be in force")
	return b.build(name, "PLAN", help, 1, fs, func(c *Client, args []string) (any, error) {
		id, err := parsePlanID(args[0])
		if err != nil {
			return nil, err
		}
		return c.Decide(id, confirm, *wait)
	})
}

func (b builder) historyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("history", flag.ContinueOnError)
	limit := fs.Int("limit", 50, "maximum number of changes, 1 to 1000")
	return b.build("history", "", "list the accepted changes, newest first", 0, fs, func(c *Client, _ []string) (any, error) {
		return c.History(*limit)
	})
}

func (b builder) dumpCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dump", flag.ContinueOnError)
	return b.build("dump", "ADDRESS", "print the state of one daemon", 1, fs, func(c *Client, args []string) (any, error) {
		return c.Dump(args[0])
	})
}

func (b builder) domainCommand(name, help string, state api.DomainState) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	yes := fs.Bool("yes", false, "confirm the plan at once")
	wait := fs.Duration("wait", 10*time.Second, "longest wait for the change to be in force")
	return b.build(name, "DOMAIN", help, 1, fs, func(c *Client, args []string) (any, error) {
		domain := api.Domain{Name: api.FailureDomain(args[0]), State: state}
		plan, err := c.Plan(api.Intent{Domains: []api.Domain{domain}})
		if err != nil || !*yes {
			return plan, err
		}
		return c.Decide(plan.ID, true, *wait)
	})
}

func (b builder) memberCommand() *ffcli.Command {
	fs := flag.NewFlagSet("member", flag.ContinueOnError)
	address := fs.String("address", "", "peer address ip:port, for add-learner")
	return b.build("member", "add-learner|promote|remove VOTER", "change the voters, one at a time", 2, fs, func(c *Client, args []string) (any, error) {
		request := api.MemberRequest{Action: args[0], Voter: api.VoterID(args[1]), Address: *address}
		if err := c.Member(request); err != nil {
			return nil, err
		}
		return request, nil
	})
}

func parsePlanID(arg string) (api.PlanID, error) {
	id, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		return 0, errors.Mark(errors.Newf("plan: value %q, must be a whole number", arg), ErrUsage)
	}
	return api.PlanID(id), nil
}

func readIntent(file string) (api.Intent, error) {
	var intent api.Intent
	raw, err := readAll(file)
	if err != nil {
		return intent, err
	}
	dec := json.NewDecoder(strings.NewReader(string(raw)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&intent); err != nil {
		return intent, errs.New(errs.Invalid, "read intent "+file, "", "%v", err)
	}
	return intent, nil
}

func readAll(file string) ([]byte, error) {
	switch file {
	case "":
		return nil, errors.Mark(errors.New(`f: value "", must be a file or -`), ErrUsage)
	case "-":
		return io.ReadAll(os.Stdin)
	default:
		return os.ReadFile(file)
	}
}
