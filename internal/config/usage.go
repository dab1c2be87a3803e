package config

import (
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Usage formats the help of a command: each flag with its environment variable and
// its default, which shows the unit.
func Usage(c *ffcli.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\nUsage\n  %s\n", c.ShortHelp, c.ShortUsage)
	if c.LongHelp != "" {
		fmt.Fprintf(&b, "\n%s\n", c.LongHelp)
	}
	writeSubcommands(&b, c)
	writeFlags(&b, c.FlagSet)
	return b.String()
}

func writeSubcommands(b *strings.Builder, c *ffcli.Command) {
	if len(c.Subcommands) == 0 {
		return
	}
	b.WriteString("\nCommands\n")
	w := tabwriter.NewWriter(b, 0, 2, 2, ' ', 0)
	for _, sub := range c.Subcommands {
		_, _ = fmt.Fprintf(w, "  %s\t%s\n", sub.Name, sub.ShortHelp)
	}
	_ = w.Flush()
}

func writeFlags(b *strings.Builder, fs *flag.FlagSet) {
	if fs == nil || countFlags(fs) == 0 {
		return
	}
	b.WriteString("\nFlags\n")
	w := tabwriter.NewWriter(b, 0, 2, 2, ' ', 0)
	fs.VisitAll(func(f *flag.Flag) {
		_, _ = fmt.Fprintf(w, "  --%s\t%s\t%s (default %s)\n", f.Name, EnvName(f.Name), f.Usage, defaultOf(f))
	})
	_ = w.Flush()
}

func countFlags(fs *flag.FlagSet) int {
	n := 0
	fs.VisitAll(func(*flag.Flag) { n++ })
	return n
}

func defaultOf(f *flag.Flag) string {
	if f.DefValue == "" {
		return "none"
	}
	return f.DefValue
}
