package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/crocusway/crocusway/internal/config"
)

// version is the release version; a build can set it with -ldflags "-X main.version=".
var version = "0.1.0-dev"

func versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "crocusway version",
		ShortHelp:  "print the version",
		UsageFunc:  config.Usage,
		Exec: func(context.Context, []string) error {
			fmt.Printf("crocusway %s %s%s\n", version, runtime.Version(), revision())
			return nil
		},
	}
}

// revision returns the source revision from the build information, preceded by a
// space, or an empty text.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return " " + s.Value
		}
	}
	return ""
}
