package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sloerail/internal/output"
	"sloerail/internal/simulation"
)

func newSimulate() *cobra.Command {
	var seed uint64
	var every int
	var asJSON, noPlaces bool
	cmd := &cobra.Command{
		Use:   "simulate SCENARIO",
		Short: "Simulate a scenario in virtual time, with the decision module in the same process",
		Long: "Simulate a scenario in virtual time. SCENARIO is the name of a built-in scenario or a TOML file; without it, list\n" +
			"the built-in scenarios. Exit with 1 if a rule was broken.",
		Example: "  sloerail simulate zone-lost\n  sloerail simulate zone-errors --seed 7 --every 5\n" +
			"  sloerail simulate my.toml --json | jq .classes",
		Args: positionalArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, names []string) error {
			if len(names) == 0 {
				return listScenarios(cmd.OutOrStdout())
			}
			s, err := simulation.Read(names[0])
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			s.Topology = s.Topology && !noPlaces
			w, err := simulation.New(s, seed)
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return reportOutcome(cmd.OutOrStdout(), w.Run(), every, asJSON)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().IntVar(&every, "every", 1, "seconds per line of the table")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the outcome as JSON")
	cmd.Flags().BoolVar(&noPlaces, "no-places", false, "run nodes that evaluate only servers, not zones")
	return cmd
}

func listScenarios(out io.Writer) error {
	p := output.NewPrinter(out)
	for _, name := range simulation.BuiltinNames() {
		s, err := simulation.Read(name)
		if err != nil {
			return err
		}
		p.Printf("%-16s %s\n", name, s.Description)
	}
	return p.Err()
}

// reportOutcome prints the outcome of a run. It returns an error if rules were broken.
func reportOutcome(out io.Writer, o *simulation.Outcome, every int, asJSON bool) error {
	if err := output.Show(out, o, asJSON, func(p *output.Printer) { printOutcome(p, o, every) }); err != nil {
		return err
	}
	if o.Broken > 0 {
		return fmt.Errorf("rules were broken %d times", o.Broken)
	}
	return nil
}

func printOutcome(p *output.Printer, o *simulation.Outcome, every int) {
	for _, line := range o.Table(max(1, every)) {
		p.Println(line)
	}
	for _, m := range o.Timeline {
		p.Printf("%6.2f s  %s %s\n", m.At, m.Node, m.Text)
	}
	p.Printf("rules broken: %d\n", o.Broken)
	for _, b := range o.BrokenRules {
		p.Println(" ", b)
	}
}
