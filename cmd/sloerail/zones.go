package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"sloerail/internal/node"
	"sloerail/internal/output"
)

var errNoTopology = errors.New("its configuration names no places")

func newZones() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "places ADDR...",
		Short: "Show what the nodes at these second addresses make of each zone: its state, share, evidence, and why",
		Long: "Show what the nodes at these second addresses (control in their configuration) make of each zone. Ends with 1 if\n" +
			"one gives no answer.",
		Example: "  sloerail places 10.0.0.4:9100 10.0.0.5:9100\n  sloerail places 10.0.0.4:9100 --json",
		Args:    args(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, addrs []string) error {
			return showZones(cmd.Context(), cmd.OutOrStdout(), addrs, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the nodes' answers as a JSON list")
	return cmd
}

// zonesResponse is what came of one address.
type zonesResponse struct {
	Address string           `json:"address"`
	Places  []node.PlaceView `json:"places,omitempty"`
	Error   string           `json:"error,omitempty"`
}

func showZones(ctx context.Context, out io.Writer, addrs []string, asJSON bool) error {
	all := make([]zonesResponse, len(addrs))
	forEachAddress(addrs, func(i int, addr string) {
		all[i].Address = addr
		if err := getJSON(ctx, addr, "/places", errNoTopology, &all[i].Places); err != nil {
			all[i].Error = err.Error()
		}
	})
	var silent []string
	for _, a := range all {
		if a.Error != "" {
			silent = append(silent, a.Address)
		}
	}
	if err := output.Show(out, all, asJSON, func(p *output.Printer) { printZones(p, all) }); err != nil {
		return err
	}
	if len(silent) > 0 {
		return fmt.Errorf("no places from %s", strings.Join(silent, ", "))
	}
	return nil
}

func printZones(p *output.Printer, all []zonesResponse) {
	for _, a := range all {
		if a.Error != "" {
			p.Printf("%s: %s\n\n", a.Address, a.Error)
			continue
		}
		p.Printf("%s:\n", a.Address)
		t := newTable(p, "zone", "region", "cost", "servers", "state", "share", "ill/heard lately", "left lately", "tried in", "left last for")
		for _, place := range a.Places {
			tried := ""
			if place.State == "left" {
				tried = (time.Duration(place.TriedInMs) * time.Millisecond).Round(100 * time.Millisecond).String()
			}
			t.AppendRow(table.Row{place.Zone, place.Region, place.Cost, place.Servers, place.State, fmt.Sprintf("%.2f", place.Share),
				fmt.Sprintf("%.0f/%.0f", place.Ill, place.Heard), place.Left, tried, place.Why})
		}
		t.Render()
		p.Println()
	}
}
