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

var errNoZones = errors.New("no places in the node's configuration")

func newZones() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "places ADDR...",
		Short: "Show the state of each zone, as seen by the nodes at these control addresses",
		Long: "Show the state of each zone, its share of requests and its recent failures, as seen by the nodes at these\n" +
			"control addresses (configuration key: control). Exit with 1 if a node returns no view.",
		Example: "  sloerail places 10.0.0.4:9100 10.0.0.5:9100\n  sloerail places 10.0.0.4:9100 --json",
		Args:    positionalArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, addrs []string) error {
			return showZones(cmd.Context(), cmd.OutOrStdout(), addrs, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the nodes' responses as a JSON list")
	return cmd
}

// zonesResponse is the view from one address, or the error if there is none.
type zonesResponse struct {
	Address string          `json:"address"`
	Places  []node.ZoneView `json:"places,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// showZones prints the nodes' views of the zones. It returns an error if a view is missing.
func showZones(ctx context.Context, out io.Writer, addrs []string, asJSON bool) error {
	responses := make([]zonesResponse, len(addrs))
	forEachAddress(addrs, func(i int, addr string) {
		responses[i].Address = addr
		if err := getJSON(ctx, addr, "/places", errNoZones, &responses[i].Places); err != nil {
			responses[i].Error = err.Error()
		}
	})
	var failed []string
	for _, r := range responses {
		if r.Error != "" {
			failed = append(failed, r.Address)
		}
	}
	if err := output.Show(out, responses, asJSON, func(p *output.Printer) { printZones(p, responses) }); err != nil {
		return err
	}
	if len(failed) > 0 {
		return fmt.Errorf("no view of the zones from %s", strings.Join(failed, ", "))
	}
	return nil
}

func printZones(p *output.Printer, responses []zonesResponse) {
	for _, r := range responses {
		if r.Error != "" {
			p.Printf("%s: %s\n\n", r.Address, r.Error)
			continue
		}
		p.Printf("%s:\n", r.Address)
		t := newTable(p, "zone", "region", "cost", "servers", "state", "share",
			"recent failures/responses", "recent evacuations", "next probe in", "cause of last evacuation")
		for _, zone := range r.Places {
			probeIn := ""
			if zone.State == "left" {
				probeIn = (time.Duration(zone.ProbeInMs) * time.Millisecond).Round(100 * time.Millisecond).String()
			}
			t.AppendRow(table.Row{zone.Zone, zone.Region, zone.Cost, zone.Servers, zone.State, fmt.Sprintf("%.2f", zone.TrafficShare),
				fmt.Sprintf("%.0f/%.0f", zone.Failures, zone.Responses), zone.Evacuations, probeIn, zone.EvacuationReason})
		}
		t.Render()
		p.Println()
	}
}
