package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"sloerail/internal/output"
	"sloerail/internal/scaletest"
)

// scaleFlags are those of the command, beside the run's own bounds.
type scaleFlags struct {
	scaletest.Options
	seed   uint64
	asJSON bool
	plot   string
}

func newScale() *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{
		Use:   "scale SCENARIO",
		Short: "Measure how a node's costs grow with the size of what it serves",
		Long: "Measure hollow nodes (the code that ships, without the sockets of requests) at several sizes of one dimension,\n" +
			"and fit a law to each measure: a scenario that comes with the program, by its name, or a TOML file. Without a\n" +
			"name it lists those that come with the program. Interrupted, it shows what was measured so far, and ends with 1.",
		Example: "  sloerail scale servers\n  sloerail scale nodes --for 2m --most 100 --plot nodes.svg\n" +
			"  sloerail scale my.toml --seed 7 --json | jq .laws",
		Args: args(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, names []string) error {
			if len(names) == 0 {
				return listScales(cmd.OutOrStdout())
			}
			return runScale(cmd, names[0], flags)
		},
	}
	f := cmd.Flags()
	f.DurationVar(&flags.MaxDuration, "for", 0, "the whole run takes no longer; 0 for what the scenario says")
	f.IntVar(&flags.MaxSize, "most", 0, "leave out larger sizes; 0 for none")
	f.Uint64Var(&flags.seed, "seed", 0, "of all chances, in place of the scenario's")
	f.BoolVar(&flags.asJSON, "json", false, "print all that was measured as JSON")
	f.StringVar(&flags.plot, "plot", "", "draw the measures and their laws into this SVG file")
	return cmd
}

func listScales(out io.Writer) error {
	printer := output.NewPrinter(out)
	for _, name := range scaletest.Shipped() {
		s, err := scaletest.Read(name)
		if err != nil {
			return err
		}
		printer.Printf("%-10s %s\n", name, s.What)
	}
	for _, d := range scaletest.NotMeasured {
		printer.Printf("%-10s not measured yet\n", d)
	}
	return printer.Err()
}

func runScale(cmd *cobra.Command, name string, flags scaleFlags) error {
	s, err := scaletest.Read(name)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if flags.MaxDuration < 0 || flags.MaxSize < 0 {
		return fmt.Errorf("%w: for, most: want 0 or more", errUsage)
	}
	if cmd.Flags().Changed("seed") {
		s.Seed = flags.seed
	}
	slog.SetLogLoggerLevel(slog.LevelError) // many nodes in one process would each tell what befalls them
	options := flags.Options
	options.Progress = scaleProgress(cmd.ErrOrStderr(), s.Dimension)
	report, err := scaletest.Run(cmd.Context(), s, options)
	if errors.Is(err, scaletest.ErrBeyondMachine) && report == nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if report == nil {
		return err
	}
	return errors.Join(err, reportScale(cmd.OutOrStdout(), report, flags))
}

// scaleProgress shows how far a run has come: a bar on a terminal, else a line for each point.
func scaleProgress(errs io.Writer, dimension scaletest.Dimension) func(scaletest.Progress) {
	file, ok := errs.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		printer := output.NewPrinter(errs)
		return func(p scaletest.Progress) {
			if p.Run > 0 {
				printer.Printf("%d of %d: %s %d, run %d\n", p.Done+1, p.Points, dimension, p.Size, p.Run)
			}
		}
	}
	var bar *progressbar.ProgressBar
	return func(p scaletest.Progress) {
		if bar == nil {
			bar = progressbar.NewOptions(p.Points, progressbar.OptionSetWriter(errs), progressbar.OptionClearOnFinish())
		}
		bar.Describe(fmt.Sprintf("%s %d, run %d", dimension, p.Size, p.Run))
		_ = bar.Set(p.Done) // that the bar can't be drawn is no reason to stop
	}
}

// reportScale prints a report. The error says that it is not whole.
func reportScale(out io.Writer, r *scaletest.Report, flags scaleFlags) error {
	if flags.plot != "" && len(r.Measurements) > 0 {
		if err := writePlot(r, flags.plot); err != nil {
			return err
		}
	}
	if flags.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", " ")
		if err := encoder.Encode(r); err != nil {
			return err
		}
	} else {
		printer := output.NewPrinter(out)
		if printScale(printer, r); printer.Err() != nil {
			return printer.Err()
		}
	}
	if r.Stopped != "" {
		return fmt.Errorf("stopped before all was measured: %s", r.Stopped)
	}
	return nil
}

func writePlot(r *scaletest.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("%w: plot: %w", errUsage, err)
	}
	return errors.Join(r.WriteSVG(file), file.Close())
}

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

// fixedSizesOf names the sizes that don't grow.
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

// printValues is the table of what was measured: the mean of the runs, and the least and the most.
func printValues(out io.Writer, r *scaletest.Report) {
	header := []any{"measure", "unit", "of"}
	for _, size := range r.Sizes() {
		header = append(header, strconv.Itoa(size))
	}
	t := newTable(out, header...)
	for _, m := range r.Measures() {
		for _, source := range r.Sources() {
			row, any := table.Row{m.Name, string(m.Unit), string(source)}, false
			for _, size := range r.Sizes() {
				values := r.Values(m, source, size)
				any = any || len(values) > 0
				row = append(row, cell(values))
			}
			if any {
				t.AppendRow(row)
			}
		}
	}
	t.Render()
}

// cell is the mean of the runs and, where they differ, the least and the most.
func cell(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	least, most := slices.Min(values), slices.Max(values)
	if least == most {
		return short(least)
	}
	return fmt.Sprintf("%s\n%s to %s", short(sum/float64(len(values))), short(least), short(most))
}

// short writes a figure with three digits that count, and a letter for thousands.
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

// printRatios is the table of what was measured of processes beside hollow nodes; none where there is nothing.
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

// printLaws is the table of laws and what they say of the target.
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
