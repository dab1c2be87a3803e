package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/region"
)

// print writes a result as one JSON value or as text for operators.
func (b builder) print(result any, asJSON bool) error {
	if asJSON {
		return PrintJSON(b.out, result)
	}
	switch r := result.(type) {
	case api.Plan:
		return printPlan(b.out, r)
	case []api.Plan:
		return printPlans(b.out, r)
	case api.DecideResponse:
		return printDecision(b.out, r)
	case api.StatusResponse:
		return printStatus(b.out, r)
	case []api.HistoryItem:
		return printHistory(b.out, r)
	case api.MemberRequest:
		_, err := fmt.Fprintf(b.out, "%s %s: accepted\n", r.Action, r.Voter)
		return err
	case region.Change:
		return printChange(b.out, r)
	case region.Overview:
		return printOverview(b.out, r)
	default:
		return PrintJSON(b.out, result)
	}
}

// PrintJSON writes v as indented JSON.
func PrintJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes a table with a header.
func table(w io.Writer, header []string, rows [][]string) error {
	t := tablewriter.NewWriter(w)
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}

func printPlan(w io.Writer, p api.Plan) error {
	_, err := fmt.Fprintf(w, "Plan %d (%s), on configuration %d, by %s\n", p.ID, p.State, p.Base, p.Operator)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(p.Consequences))
	for _, c := range p.Consequences {
		rows = append(rows, []string{string(c.Kind), c.Subject, c.Detail})
	}
	if err := table(w, []string{"Effect", "Subject", "Detail"}, rows); err != nil {
		return err
	}
	if p.State != api.PlanPending {
		return nil
	}
	_, err = fmt.Fprintf(w, "Decide with: crocusway ctl confirm %d, or: crocusway ctl reject %d\n", p.ID, p.ID)
	return err
}

func printPlans(w io.Writer, plans []api.Plan) error {
	rows := make([][]string, 0, len(plans))
	for _, p := range plans {
		rows = append(rows, []string{
			strconv.FormatUint(uint64(p.ID), 10),
			string(p.State),
			strconv.FormatUint(uint64(p.Base), 10),
			p.Operator,
			strconv.Itoa(len(p.Consequences)),
		})
	}
	return table(w, []string{"Plan", "State", "Base", "Operator", "Effects"}, rows)
}

func printDecision(w io.Writer, d api.DecideResponse) error {
	_, err := fmt.Fprintf(w, "Plan %d is %s at revision %d.\n", d.Plan.ID, d.Plan.State, d.Plan.Decided)
	if err != nil {
		return err
	}
	if d.Plan.State != api.PlanConfirmed {
		return nil
	}
	if d.InForce {
		_, err := fmt.Fprintln(w, "It is in force everywhere.")
		return err
	}
	names := make([]string, 0, len(d.HeldOut))
	for _, id := range d.HeldOut {
		names = append(names, string(id))
	}
	_, err = fmt.Fprintf(w, "It is accepted; not yet in force at entries with an older work lease: %s.\n", strings.Join(names, ", "))
	return err
}

func printHistory(w io.Writer, items []api.HistoryItem) error {
	rows := make([][]string, 0, len(items))
	for _, i := range items {
		rows = append(rows, []string{
			strconv.FormatUint(uint64(i.Revision), 10),
			time.UnixMilli(i.UnixMillis).UTC().Format(time.RFC3339),
			i.Operator,
			strconv.FormatUint(uint64(i.Plan), 10),
			i.Summary,
		})
	}
	return table(w, []string{"Revision", "Time", "Operator", "Plan", "Change"}, rows)
}
