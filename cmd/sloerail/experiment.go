package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"sloerail/internal/output"
	"sloerail/internal/simulation"
)

var errOutOfBounds = errors.New("with nodes that evaluate zones, the mean of a measure is out of its bounds, or a rule was broken")

func newExperiment() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "Run experiments on the decision module, in virtual time and with many seeds"}
	cmd.AddCommand(newPairExperiment(), newZonesExperiment())
	return cmd
}

func newPairExperiment() *cobra.Command {
	var seeds int
	var first uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "pair PROGRAM [SCENARIO...]",
		Short: "Compare this program with another build of it, on the same scenarios and seeds",
		Long: "Run scenarios with this program and with PROGRAM, another build of it, on the same seeds. Report the score G of both,\n" +
			"and the difference, this program's G minus PROGRAM's, with a 95% interval. G is a weighted mean of the part of the\noffered " +
			"value that was served in time: in the whole run, in its worst 10 s and in its worst-served class.\nWithout scenarios, run all built-in ones. Exit with 1 if this program broke a rule.",
		Example: "  sloerail experiment pair /tmp/before/sloerail --seeds 50\n" +
			"  sloerail experiment pair ./old zone-lost zone-errors --seeds 200 --json",
		Args: positionalArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, names []string) error {
			seedList, err := seedRange(first, seeds)
			if err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			scenarios := names[1:]
			if len(scenarios) == 0 {
				scenarios = simulation.BuiltinNames()
			}
			pairs, err := simulation.Pairs(cmd.Context(), executable, names[0], scenarios, seedList)
			if err != nil {
				return err
			}
			return reportPairs(cmd.OutOrStdout(), pairs, asJSON)
		},
	}
	addSeedFlags(cmd, &first, &seeds, 20)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the figures as JSON")
	return cmd
}

func addSeedFlags(cmd *cobra.Command, first *uint64, count *int, defaultCount int) {
	cmd.Flags().IntVar(count, "seeds", defaultCount, "number of seeds")
	cmd.Flags().Uint64Var(first, "first", 1, "first seed")
}

// maxSeeds is the maximum number of seeds of an experiment.
const maxSeeds = 1000

func seedRange(first uint64, count int) (seeds []uint64, err error) {
	if count < 1 || count > maxSeeds {
		return nil, fmt.Errorf("%w: seeds: want 1 to %d, got %d", errUsage, maxSeeds, count)
	}
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds, nil
}

func reportPairs(out io.Writer, pairs []simulation.Pair, asJSON bool) error {
	if err := output.Show(out, pairs, asJSON, func(p *output.Printer) { printPairs(p, pairs) }); err != nil {
		return err
	}
	if n := pairs[len(pairs)-1].OurBroken; n > 0 {
		return fmt.Errorf("this program broke rules %d times", n)
	}
	return nil
}

func printPairs(out io.Writer, pairs []simulation.Pair) {
	t := newTable(out, "scenario", "G", "G of the other build", "difference of G, this minus other (95%)", "p", "rules broken",
		"rules broken by the other build")
	for _, p := range pairs {
		t.AppendRow(table.Row{p.Scenario, fmt.Sprintf("%.3f", p.OurG), fmt.Sprintf("%.3f", p.TheirG),
			fmt.Sprintf("%+.4f ±%.4f", p.Mean, p.HalfInterval), fmt.Sprintf("%.3f", p.P), p.OurBroken, p.TheirBroken})
	}
	t.Render()
}

func newZonesExperiment() *cobra.Command {
	var seeds int
	var first uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "zones",
		Short: "Compare nodes that evaluate zones with nodes that evaluate only servers",
		Long: "Simulate failures of zones, with nodes that evaluate zones and with nodes that evaluate only servers, on the same\n" +
			"seeds. Exit with 1 if, with nodes that evaluate zones, the mean of a measure is out of its bounds or a rule was broken.",
		Example: "  sloerail experiment zones --seeds 10",
		Args:    positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			seedList, err := seedRange(first, seeds)
			if err != nil {
				return err
			}
			rows, err := simulation.MeasureZones(simulation.ZoneMeasures(), seedList, true)
			if err != nil {
				return err
			}
			return reportRows(cmd.OutOrStdout(), rows, asJSON)
		},
	}
	addSeedFlags(cmd, &first, &seeds, 10)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the figures of all seeds as JSON")
	return cmd
}

func reportRows(out io.Writer, rows []simulation.Row, asJSON bool) error {
	if err := output.Show(out, jsonRows(rows), asJSON, func(p *output.Printer) { printRows(p, rows) }); err != nil {
		return err
	}
	for _, r := range rows {
		if !r.Passed() {
			return errOutOfBounds
		}
	}
	return nil
}

// jsonRow is a row as --json prints it. Infinite and undefined figures are -1, because JSON has neither.
type jsonRow struct {
	Measure string    `json:"measure"`
	Places  []float64 `json:"places"`
	Alone   []float64 `json:"servers_alone"`
	Broken  int       `json:"rules_broken"`
	Passed  bool      `json:"reached"`
}

func jsonRows(rows []simulation.Row) (all []jsonRow) {
	for _, r := range rows {
		all = append(all, jsonRow{r.Name, finite(r.WithTopology), finite(r.WithoutTopology), r.Broken, r.Passed()})
	}
	return all
}

func finite(figures []float64) (all []float64) {
	for _, figure := range figures {
		if math.IsInf(figure, 0) || math.IsNaN(figure) {
			figure = -1
		}
		all = append(all, figure)
	}
	return all
}

func printRows(out io.Writer, rows []simulation.Row) {
	t := newTable(out, "measure", "required mean", "evaluating zones: mean (min to max)", "only servers: mean (min to max)",
		"rules broken evaluating zones", "reached")
	for _, r := range rows {
		want := ""
		if !math.IsInf(r.Min, 0) && r.Min > 0 {
			want = fmt.Sprintf("%.3g or more", r.Min)
		}
		if !math.IsInf(r.Max, 0) {
			want += fmt.Sprintf(" %.3g or less", r.Max)
		}
		t.AppendRow(table.Row{r.Name, want, meanAndRange(r.WithTopology), meanAndRange(r.WithoutTopology), r.Broken, r.Passed()})
	}
	t.Render()
}

func meanAndRange(all []float64) string {
	mean, lowest, highest := simulation.MeanMinMax(all)
	return fmt.Sprintf("%.3f (%.3f to %.3f)", mean, lowest, highest)
}
