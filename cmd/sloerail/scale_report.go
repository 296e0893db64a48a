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
	out.Printf("%s: %s\nseed %d, %d runs, started %s, %d cores, %.1f GB, %s\n", s.Name, s.What, s.Seed, s.Runs,
		r.Began.Format("2006-01-02 15:04:05 UTC"), r.Machine.Cores, float64(r.Machine.Memory)/1e9, r.Machine.Go)
	out.Printf("held constant: %s\n", formatFixedSizes(s))
	printValues(out, r)
	printRatios(out, r)
	printLaws(out, r)
	var missing []string
	for _, d := range r.NotMeasured {
		missing = append(missing, string(d))
	}
	out.Printf("dimensions not measured: %s\n", strings.Join(missing, ", "))
}

// formatFixedSizes lists the sizes that the scenario holds constant.
func formatFixedSizes(s scaletest.Scenario) string {
	fixed := s.Fixed
	var sizes []string
	for _, v := range []struct {
		dimension scaletest.Dimension
		value     float64
		label     string
	}{
		{scaletest.Servers, float64(fixed.Servers), "servers"}, {scaletest.Tenants, float64(fixed.Tenants), "tenants"},
		{scaletest.Nodes, float64(fixed.Nodes), "nodes"}, {scaletest.Changes, fixed.Changes, "changes a minute"},
		{"requests", fixed.Requests, "requests a second"},
	} {
		if v.dimension != s.Dimension && v.value > 0 {
			sizes = append(sizes, fmt.Sprintf("%v %s", v.value, v.label))
		}
	}
	return strings.Join(sizes, ", ")
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
				row = append(row, formatCell(values))
			}
			if measured {
				t.AppendRow(row)
			}
		}
	}
	t.Render()
}

// formatCell formats the mean of the runs and, if they differ, their range.
func formatCell(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	lowest, highest := slices.Min(values), slices.Max(values)
	if lowest == highest {
		return formatFigure(lowest)
	}
	return fmt.Sprintf("%s\n%s to %s", formatFigure(sum/float64(len(values))), formatFigure(lowest), formatFigure(highest))
}

// formatFigure formats a figure with three significant digits and a unit prefix.
func formatFigure(v float64) string {
	for _, scale := range []struct {
		factor float64
		prefix string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if v >= scale.factor {
			return strconv.FormatFloat(v/scale.factor, 'g', 3, 64) + scale.prefix
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
		t.AppendRow(table.Row{v.Name, string(v.Unit), v.Size, formatFigure(v.Hollow), formatFigure(v.Process), fmt.Sprintf("%.2f", v.Ratio)})
	}
	t.Render()
}

// printLaws prints the table of laws, with their values at the scenario's target size.
func printLaws(out io.Writer, r *scaletest.Report) {
	t := newTable(out, "measure", "unit", "of", "law", "formula", "residual: rms, worst", "fitted sizes",
		"exponent at the end", fmt.Sprintf("at the target %s (95%%)", formatFigure(r.Scenario.Target)), "target / largest size", "budget", "budget reached at")
	for _, l := range r.Laws {
		row := table.Row{l.Name, string(l.Unit), string(l.Source), string(l.Why), "", "",
			fmt.Sprintf("%d to %d", l.MinSize, l.MaxSize),
			fmt.Sprintf("%.2f", l.Exponent), "", "", "", ""}
		if l.Law != "" {
			row[3], row[4] = string(l.Law), l.Formula()
			row[5] = fmt.Sprintf("%.1f%%, %.1f%%", 100*l.Residual, 100*l.MaxDeviation)
			row[8] = fmt.Sprintf("%s (%s to %s)", formatFigure(l.AtTarget), formatFigure(l.Low), formatFigure(l.High))
			row[9] = fmt.Sprintf("x%.3g", l.TargetFactor)
		}
		if l.Limit > 0 {
			row[10] = formatFigure(l.Limit)
			switch {
			case l.Reaches > 0:
				row[11] = formatFigure(l.Reaches)
			case l.Law != "":
				row[11] = "never"
			}
		}
		t.AppendRow(row)
	}
	t.Render()
}
