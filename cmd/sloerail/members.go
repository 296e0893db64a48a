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
	callTimeout      = 2 * time.Second // of a call at an administrative address
	watchInterval    = time.Second     // between looks of members --watch
	maxResponseBytes = 4 << 20
)

var (
	errDiffer  = errors.New("the views differ")
	errNoFleet = errors.New("the node there is of no fleet")
)

func newMembers() *cobra.Command {
	var watch, asJSON bool
	cmd := &cobra.Command{
		Use:   "members ADDR...",
		Short: "Show which nodes of the fleet are present, as the nodes at these second addresses see it",
		Long: "Show which nodes of the fleet are present, as the nodes at these second addresses (control in their\n" +
			"configuration) see it. Ends with 1 if one gives no answer, or if two views differ in who is there.",
		Example: "  sloerail members 10.0.0.4:9100 10.0.0.5:9100\n  sloerail members 10.0.0.4:9100 --watch\n" +
			"  sloerail members 10.0.0.4:9100 --json",
		Args: args(cobra.MinimumNArgs(1)),
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
	cmd.Flags().BoolVar(&watch, "watch", false, "show it again each second, until interrupted")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the nodes' answers as a JSON list, one line a look")
	return cmd
}

// memberResponse is the response of one address, or why there is none.
type memberResponse struct {
	Address string          `json:"address"`
	View    *node.FleetView `json:"view,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// showMembers prints the views of the nodes at all addresses. It is an error for one to be missing or to differ.
func showMembers(ctx context.Context, out io.Writer, addrs []string, asJSON bool) error {
	responses := make([]memberResponse, len(addrs))
	forEachAddress(addrs, func(i int, addr string) {
		responses[i] = memberResponse{Address: addr, View: new(node.FleetView)}
		if err := getJSON(ctx, addr, "/fleet", errNoFleet, responses[i].View); err != nil {
			responses[i] = memberResponse{Address: addr, Error: err.Error()}
		}
	})
	if err := output.Show(out, responses, asJSON, func(p *output.Printer) { printMembers(p, responses) }); err != nil {
		return err
	}
	return compareViews(responses)
}

// compareViews returns an error where views are missing, or differ in the members that are present.
func compareViews(responses []memberResponse) error {
	var unanswered []string
	var first *memberResponse
	for i, a := range responses {
		switch {
		case a.Error != "":
			unanswered = append(unanswered, a.Address)
		case first == nil:
			first = &responses[i]
		case !slices.Equal(first.View.Present(), a.View.Present()):
			return fmt.Errorf("%w: %s and %s", errDiffer, first.Address, a.Address)
		}
	}
	if len(unanswered) > 0 {
		return fmt.Errorf("no view from %s", strings.Join(unanswered, ", "))
	}
	return nil
}

func printMembers(p *output.Printer, responses []memberResponse) {
	for _, a := range responses {
		if a.Error != "" {
			p.Printf("%s: %s\n\n", a.Address, a.Error)
			continue
		}
		v := a.View
		p.Printf("%s: %s hears %d, quotas by %d, view %d%s\n", a.Address, v.Node, v.Reachable, v.QuotaNodes, v.View, warnings(v))
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
		text += "; CUT OFF: it hears half or less, and keeps its part of quotas"
	}
	if v.Superseded {
		text += "; SUPERSEDED: a later process bears its name"
	}
	return text
}

// forEachAddress calls do for all addresses concurrently, and returns once all calls have.
func forEachAddress(addrs []string, do func(i int, addr string)) {
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Go(func() { do(i, addr) })
	}
	calls.Wait()
}

// getJSON decodes the response of an administrative address. errNotFound is returned for a 404.
func getJSON(ctx context.Context, addr, path string, errNotFound error, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
		return fmt.Errorf("it answered %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result); err != nil {
		return fmt.Errorf("what came can not be read: %w", err)
	}
	return nil
}
