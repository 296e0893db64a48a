package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sloerail/internal/lab"
)

func newSimulate() *cobra.Command {
	var seed uint64
	var every int
	var asJSON, noPlaces bool
	cmd := &cobra.Command{
		Use:   "simulate SCENARIO",
		Short: "Play a scenario in virtual time, with the decision module called in process",
		Long: "Play a scenario in virtual time: one that comes with the program, by its name, or a TOML file. Ends with 1 if a\n" +
			"rule was broken. Without a name it lists those that come with the program.",
		Example: "  sloerail simulate zone-lost\n  sloerail simulate zone-errors --seed 7 --every 5\n" +
			"  sloerail simulate my.toml --json | jq .classes",
		Args: args(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, names []string) error {
			if len(names) == 0 {
				return listScenarios(cmd.OutOrStdout())
			}
			s, err := lab.Read(names[0])
			if err != nil {
				return fmt.Errorf("%w: %w", errUse, err)
			}
			s.Places = s.Places && !noPlaces
			w, err := lab.New(s, seed)
			if err != nil {
				return fmt.Errorf("%w: %w", errUse, err)
			}
			return tell(cmd.OutOrStdout(), w.Run(), every, asJSON)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of all chances")
	cmd.Flags().IntVar(&every, "every", 1, "seconds in a line")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print all that came of it as JSON")
	cmd.Flags().BoolVar(&noPlaces, "no-places", false, "tell the nodes no places: servers are judged one by one")
	return cmd
}

func listScenarios(out io.Writer) error {
	for _, name := range lab.Shipped() {
		s, err := lab.Read(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-16s %s\n", name, s.What)
	}
	return nil
}

// tell prints what came of a run. The error says that rules were broken.
func tell(out io.Writer, o *lab.Outcome, every int, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(o); err != nil {
			return err
		}
	} else {
		for _, line := range o.Table(max(1, every)) {
			fmt.Fprintln(out, line)
		}
		for _, m := range o.Marks {
			fmt.Fprintf(out, "%6.2f s  %s %s\n", m.At, m.Who, m.What)
		}
		fmt.Fprintf(out, "rules broken: %d\n", o.Broken)
		for _, b := range o.BrokenRules {
			fmt.Fprintln(out, " ", b)
		}
	}
	if o.Broken > 0 {
		return fmt.Errorf("%d rules were broken", o.Broken)
	}
	return nil
}
