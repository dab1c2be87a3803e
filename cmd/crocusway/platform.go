package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/platform"
)

// platformName is the command whose processes reload their settings on SIGHUP.
const platformName = "platform"

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet(platformName, flag.ContinueOnError)
	var o platform.Options
	var role, secretFile string
	fs.StringVar(&role, "role", "", "control or entry")
	fs.StringVar(&o.Settings, "settings", "", "settings file of the process; empty: taken from the environment")
	fs.StringVar(&secretFile, "peer-secret-file", "", "file with the shared secret of the daemons; or "+config.EnvName("peer-secret")+" with the value")
	fs.IntVar(&o.MetricsPort, "metrics-port", 0, "port of the metrics endpoint; 0 disables it")
	fs.StringVar(&o.PeerListen, "peer-listen", "", "ip:port to listen on for links between daemons, if their address is forwarded to it")
	fs.StringVar(&o.PeerSource, "peer-source", "", "local IP of dialed links; empty: any")
	fs.StringVar(&o.ServerSource, "server-source", "", "local IP of an entry's connections to backend servers; empty: any")
	fs.StringVar(&o.LogLevel, "log-level", "info", "debug, info, warn or error")
	return &ffcli.Command{
		Name:       platformName,
		ShortUsage: "crocusway platform --role=control|entry [flags]",
		ShortHelp:  "run a daemon with the protocols and settings of the users' platform",
		FlagSet:    fs,
		UsageFunc:  config.Usage,
		Options:    []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			o.Role = config.Role(role)
			secret, err := config.ReadSecret("peer-secret", secretFile)
			if err != nil {
				return err
			}
			o.PeerSecret = secret
			return platform.Run(ctx, o)
		},
	}
}
