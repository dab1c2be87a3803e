package demo

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/olekukonko/tablewriter"
)

// Print writes the report as a table.
func Print(w io.Writer, r Report) error {
	t := tablewriter.NewWriter(w)
	t.Header([]string{"Step", "Time, ms", "Result"})
	for _, s := range r.Steps {
		if err := t.Append([]string{s.Name, strconv.FormatInt(s.Millis, 10), s.Result}); err != nil {
			return err
		}
	}
	return t.Render()
}

// PrintHints writes commands to try on the running demo.
func (d *Demo) PrintHints(w io.Writer) error {
	entries := d.System.Entries()
	lines := []string{
		"Running until interrupted. Try:",
		"  curl http://" + entries[0] + "/v1/entries",
		"  curl -N http://" + entries[0] + "/v1/chat/completions -H 'Authorization: Bearer " + apiKey + "' -d '{\"model\":\"" + model + "\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'",
		"  curl http://" + entries[1] + "/services/" + serviceName + "/deposits -H 'Authorization: Bearer " + apiKey + "' -H 'Idempotency-Key: d2' -d '{\"amount\":1}'",
		"  CROCUSWAY_OPERATOR_TOKEN=" + d.System.OperatorToken().Reveal() + " crocusway ctl status --entries=" + strings.Join(entries, ","),
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}
