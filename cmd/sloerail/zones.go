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

// zonesResponse is the response of one address, or why there is none.
type zonesResponse struct {
	Address string           `json:"address"`
	Places  []node.PlaceView `json:"places,omitempty"`
	Error   string           `json:"error,omitempty"`
}

// showZones prints the nodes' views of their zones. It is an error for one to be missing.
func showZones(ctx context.Context, out io.Writer, addrs []string, asJSON bool) error {
	responses := make([]zonesResponse, len(addrs))
	forEachAddress(addrs, func(i int, addr string) {
		responses[i].Address = addr
		if err := getJSON(ctx, addr, "/places", errNoTopology, &responses[i].Places); err != nil {
			responses[i].Error = err.Error()
		}
	})
	var unanswered []string
	for _, a := range responses {
		if a.Error != "" {
			unanswered = append(unanswered, a.Address)
		}
	}
	if err := output.Show(out, responses, asJSON, func(p *output.Printer) { printZones(p, responses) }); err != nil {
		return err
	}
	if len(unanswered) > 0 {
		return fmt.Errorf("no places from %s", strings.Join(unanswered, ", "))
	}
	return nil
}

func printZones(p *output.Printer, responses []zonesResponse) {
	for _, a := range responses {
		if a.Error != "" {
			p.Printf("%s: %s\n\n", a.Address, a.Error)
			continue
		}
		p.Printf("%s:\n", a.Address)
		t := newTable(p, "zone", "region", "cost", "servers", "state", "share", "ill/heard lately", "left lately", "tried in", "left last for")
		for _, zone := range a.Places {
			probeIn := ""
			if zone.State == "left" {
				probeIn = (time.Duration(zone.TriedInMs) * time.Millisecond).Round(100 * time.Millisecond).String()
			}
			t.AppendRow(table.Row{zone.Zone, zone.Region, zone.Cost, zone.Servers, zone.State, fmt.Sprintf("%.2f", zone.Share),
				fmt.Sprintf("%.0f/%.0f", zone.Ill, zone.Heard), zone.Left, probeIn, zone.Why})
		}
		t.Render()
		p.Println()
	}
}
