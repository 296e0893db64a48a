package main

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"sloerail/internal/output"
	"sloerail/internal/scaletest"
)

func printScale(out *output.Printer, r *scaletest.Report) {
	s := r.Scenario
	out.Printf("%s: %s\nseed %d, %d runs, begun %s, %d cores, %.1f GB, %s\n", s.Name, s.What, s.Seed, s.Runs,
		r.Began.Format("2006-01-02 15:04:05 UTC"), r.Machine.Cores, float64(r.Machine.Memory)/1e9, r.Machine.Go)
	out.Printf("held: %s\n", fixedSizesOf(s))
	printValues(out, r)
	printRatios(out, r)
	printLaws(out, r)
	var missing []string
	for _, d := range r.NotMeasured {
		missing = append(missing, string(d))
	}
	out.Printf("dimensions not measured: %s\n", strings.Join(missing, ", "))
}

// fixedSizesOf lists the sizes that don't grow.
func fixedSizesOf(s scaletest.Scenario) string {
	h := s.Fixed
	var all []string
	for _, v := range []struct {
		of    scaletest.Dimension
		value float64
		what  string
	}{
		{scaletest.Servers, float64(h.Servers), "servers"}, {scaletest.Tenants, float64(h.Tenants), "tenants"},
		{scaletest.Nodes, float64(h.Nodes), "nodes"}, {scaletest.Changes, h.Changes, "changes a minute"},
		{"requests", h.Requests, "requests a second"},
	} {
		if v.of != s.Dimension && v.value > 0 {
			all = append(all, fmt.Sprintf("%v %s", v.value, v.what))
		}
	}
	return strings.Join(all, ", ")
}

// printValues prints the table of measurements: the mean of the runs, and their range.
func printValues(out io.Writer, r *scaletest.Report) {
	header := []any{"measure", "unit", "of"}
	for _, size := range r.Sizes() {
		header = append(header, strconv.Itoa(size))
	}
	t := newTable(out, header...)
	for _, m := range r.Measures() {
		for _, source := range r.Sources() {
			row, measured := table.Row{m.Name, string(m.Unit), string(source)}, false
			for _, size := range r.Sizes() {
				values := r.Values(m, source, size)
				measured = measured || len(values) > 0
				row = append(row, cell(values))
			}
			if measured {
				t.AppendRow(row)
			}
		}
	}
	t.Render()
}

// cell is the mean of the runs and, where they differ, their range.
func cell(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	lowest, highest := slices.Min(values), slices.Max(values)
	if lowest == highest {
		return short(lowest)
	}
	return fmt.Sprintf("%s\n%s to %s", short(sum/float64(len(values))), short(lowest), short(highest))
}

// short formats a figure with three significant digits and a unit prefix.
func short(v float64) string {
	for _, scale := range []struct {
		of     float64
		letter string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if v >= scale.of {
			return strconv.FormatFloat(v/scale.of, 'g', 3, 64) + scale.letter
		}
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// printRatios prints the table that compares processes with hollow nodes, if both were measured.
func printRatios(out io.Writer, r *scaletest.Report) {
	if len(r.Ratios) == 0 {
		return
	}
	t := newTable(out, "measure", "unit", string(r.Scenario.Dimension), "hollow", "process", "process / hollow")
	for _, v := range r.Ratios {
		t.AppendRow(table.Row{v.Name, string(v.Unit), v.Size, short(v.Hollow), short(v.Process), fmt.Sprintf("%.2f", v.Ratio)})
	}
	t.Render()
}

// printLaws prints the table of laws and their values at the target.
func printLaws(out io.Writer, r *scaletest.Report) {
	t := newTable(out, "measure", "unit", "of", "law", "formula", "residual rms, worst", "over sizes",
		"exponent at the end", fmt.Sprintf("at %s (95%%)", short(r.Scenario.Target)), "beyond measured", "budget", "reached at")
	for _, l := range r.Laws {
		row := table.Row{l.Name, string(l.Unit), string(l.Source), string(l.Why), "", "", fmt.Sprintf("%d to %d", l.From, l.To),
			fmt.Sprintf("%.2f", l.Exponent), "", "", "", ""}
		if l.Law != "" {
			row[3], row[4] = string(l.Law), l.Formula()
			row[5] = fmt.Sprintf("%.1f%%, %.1f%%", 100*l.Residual, 100*l.Worst)
			row[8] = fmt.Sprintf("%s (%s to %s)", short(l.AtTarget), short(l.Low), short(l.High))
			row[9] = fmt.Sprintf("x%.3g", l.Beyond)
		}
		if l.Limit > 0 {
			row[10] = short(l.Limit)
			switch {
			case l.Reaches > 0:
				row[11] = short(l.Reaches)
			case l.Law != "":
				row[11] = "never"
			}
		}
		t.AppendRow(row)
	}
	t.Render()
}
