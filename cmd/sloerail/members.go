package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"sloerail/internal/node"
	"sloerail/internal/output"
)

const (
	requestTimeout   = 2 * time.Second // timeout of a request to a control address
	watchInterval    = time.Second     // time between updates of members --watch
	maxResponseBytes = 4 << 20
)

var (
	errViewsDiffer = errors.New("the views differ")
	errNoFleet     = errors.New("the node is not part of a fleet")
)

func newMembers() *cobra.Command {
	var watch, asJSON bool
	cmd := &cobra.Command{
		Use:   "members ADDR...",
		Short: "Show the members of the fleet, as seen by the nodes at these control addresses",
		Long: "Show the members of the fleet, as seen by the nodes at these control addresses (configuration key: control).\n" +
			"Exit with 1 if a node returns no view, or if two nodes disagree on which members are present (not with --watch).",
		Example: "  sloerail members 10.0.0.4:9100 10.0.0.5:9100\n  sloerail members 10.0.0.4:9100 --watch\n" +
			"  sloerail members 10.0.0.4:9100 --json",
		Args: positionalArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, addrs []string) error {
			for {
				err := showMembers(cmd.Context(), cmd.OutOrStdout(), addrs, asJSON)
				if !watch {
					return err
				}
				if err != nil {
					cmd.PrintErrln("sloerail:", err)
				}
				select {
				case <-time.After(watchInterval):
				case <-cmd.Context().Done():
					return nil
				}
			}
		},
	}
	cmd.Flags().BoolVar(&watch, "watch", false, "repeat every second until interrupted")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the nodes' responses as a JSON list, one line per update")
	return cmd
}

// membersResponse is the view from one address, or the error if there is none.
type membersResponse struct {
	Address string          `json:"address"`
	View    *node.FleetView `json:"view,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// showMembers prints the views of the nodes at all addresses. It returns an error if a view is missing, or if
// two views differ.
func showMembers(ctx context.Context, out io.Writer, addrs []string, asJSON bool) error {
	responses := make([]membersResponse, len(addrs))
	forEachAddress(addrs, func(i int, addr string) {
		responses[i] = membersResponse{Address: addr, View: new(node.FleetView)}
		if err := getJSON(ctx, addr, "/fleet", errNoFleet, responses[i].View); err != nil {
			responses[i] = membersResponse{Address: addr, Error: err.Error()}
		}
	})
	if err := output.Show(out, responses, asJSON, func(p *output.Printer) { printMembers(p, responses) }); err != nil {
		return err
	}
	return compareViews(responses)
}

// compareViews returns an error if a view is missing, or if two views differ in the members that are present.
func compareViews(responses []membersResponse) error {
	var failed []string
	var first *membersResponse
	for i, r := range responses {
		switch {
		case r.Error != "":
			failed = append(failed, r.Address)
		case first == nil:
			first = &responses[i]
		case !slices.Equal(first.View.Present(), r.View.Present()):
			return fmt.Errorf("%w: %s and %s", errViewsDiffer, first.Address, r.Address)
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("no view from %s", strings.Join(failed, ", "))
	}
	return nil
}

func printMembers(p *output.Printer, responses []membersResponse) {
	for _, r := range responses {
		if r.Error != "" {
			p.Printf("%s: %s\n\n", r.Address, r.Error)
			continue
		}
		v := r.View
		p.Printf("%s: node %s reaches %d nodes, quotas divided among %d nodes, view revision %d%s\n",
			r.Address, v.Node, v.Reachable, v.QuotaNodes, v.View, warnings(v))
		t := newTable(p, "name", "zone", "state", "for", "incarnation", "version", "address")
		for _, m := range v.Members {
			t.AppendRow(table.Row{m.Name, m.Zone, m.State, (time.Duration(m.SinceMs) * time.Millisecond).Round(time.Second),
				m.Incarnation, m.Version, m.Address})
		}
		t.Render()
		p.Println()
	}
}

func warnings(v *node.FleetView) (text string) {
	if v.Partitioned {
		text += "; PARTITIONED: at most half of the nodes are reachable; the node keeps its previous share of the quotas"
	}
	if v.Superseded {
		text += "; SUPERSEDED: a later process has the same name"
	}
	return text
}

// forEachAddress calls do for all addresses concurrently, and returns when all calls have returned.
func forEachAddress(addrs []string, do func(i int, addr string)) {
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Go(func() { do(i, addr) })
	}
	calls.Wait()
}

// getJSON decodes the response of a control address into result. It returns errNotFound for a 404.
func getJSON(ctx context.Context, addr, path string, errNotFound error, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return errNotFound
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("unexpected response status %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result); err != nil {
		return fmt.Errorf("decoding the response: %w", err)
	}
	return nil
}
