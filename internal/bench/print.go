package bench

import (
	"fmt"
	"io"
	"strconv"

	"github.com/olekukonko/tablewriter"
)

// Print writes a report as a table with one row per figure, beside its target.
func Print(w io.Writer, r Report) error {
	_, err := fmt.Fprintf(w, "Experiment %s, preset %s, seeds %v\n", r.Experiment, r.Options.Preset, r.Options.Seeds)
	if err != nil {
		return err
	}
	t := tablewriter.NewWriter(w)
	t.Header([]string{"Figure", "Unit", "Ours", "Min..Max", "Baseline", "Ratio", "Target"})
	for _, row := range r.Rows {
		if err := t.Append(row.cells()); err != nil {
			return err
		}
	}
	return t.Render()
}

func (r Row) cells() []string {
	return []string{r.Name, r.Unit, mean(r.Ours), span(r.Ours), mean(r.Baseline), r.ratio(), r.target()}
}

func mean(s *Spread) string {
	if s == nil {
		return "-"
	}
	return format(s.Mean)
}

func span(s *Spread) string {
	if s == nil {
		return "-"
	}
	return format(s.Min) + ".." + format(s.Max)
}

func format(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

func (r Row) ratio() string {
	if r.Ours == nil || r.Baseline == nil || r.Baseline.Mean == 0 {
		return "-"
	}
	return format(r.Ours.Mean / r.Baseline.Mean)
}

func (r Row) target() string {
	if r.Target == nil {
		return "-"
	}
	verdict := "met"
	if r.Missed {
		verdict = "MISSED"
	}
	of := ""
	if r.Target.OfBaseline {
		of = " of baseline"
	}
	return fmt.Sprintf("%s %s%s: %s", r.Target.Relation, format(r.Target.Bound), of, verdict)
}
