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

// scaleFlags are the flags of the command.
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
	slog.SetLogLoggerLevel(slog.LevelError) // many nodes in one process would each log the faults
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

// scaleProgress prints the progress of a run: a bar on a terminal, else a line for each point.
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
		_ = bar.Set(p.Done) // a bar that can't be drawn is no reason to stop
	}
}

// reportScale prints a report. It is an error for the report to be incomplete.
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
