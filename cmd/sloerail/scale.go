package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"sloerail/internal/output"
	"sloerail/internal/scaletest"
)

// scaleFlags are the flags of the scale command.
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
		Short: "Measure how the costs of a node grow with the size of the deployment",
		Long: "Measure hollow nodes (the production code, without sockets for requests) at several sizes of one dimension, such as\n" +
			"the number of servers, and fit a law to each measure. SCENARIO is the name of a built-in scenario or a TOML file;\n" +
			"without it, list the built-in scenarios. If interrupted, show the measurements so far and exit with 1.",
		Example: "  sloerail scale servers\n  sloerail scale nodes --for 2m --most 100 --plot nodes.svg\n" +
			"  sloerail scale my.toml --seed 7 --json | jq .laws",
		Args: positionalArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, names []string) error {
			if len(names) == 0 {
				return listScales(cmd.OutOrStdout())
			}
			return runScale(cmd, names[0], flags)
		},
	}
	f := cmd.Flags()
	f.DurationVar(&flags.MaxDuration, "for", 0, "maximum duration of the whole run; 0 means that of the scenario")
	f.IntVar(&flags.MaxSize, "most", 0, "largest size to measure; 0 means no limit")
	f.Uint64Var(&flags.seed, "seed", 0, "random seed, in place of the scenario's")
	f.BoolVar(&flags.asJSON, "json", false, "print the report as JSON")
	f.StringVar(&flags.plot, "plot", "", "plot the measures and their laws to this SVG file")
	return cmd
}

func listScales(out io.Writer) error {
	printer := output.NewPrinter(out)
	for _, name := range scaletest.BuiltinNames() {
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
	slog.SetLogLoggerLevel(slog.LevelError) // otherwise each of the many nodes in this process would log the faults
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

// scaleProgress returns a function that prints the progress of a run: a bar on a terminal, otherwise a line for each
// measurement.
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
		_ = bar.Set(p.Done) // a failure to draw the bar must not stop the run
	}
}

// reportScale prints a report, and writes the plot if the flags name a file for it and anything was measured. It returns an
// error if the report is incomplete.
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
		return fmt.Errorf("stopped before all points were measured: %s", r.Stopped)
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
