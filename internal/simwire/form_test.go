package simwire

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"sloerail/internal/golden"
	"sloerail/policy"
)

// goldenLines returns the lines of a file in testdata.
func goldenLines(t *testing.T, file string) []string {
	t.Helper()
	return strings.Split(strings.TrimSuffix(string(golden.Read(t, file)), "\n"), "\n")
}

// allSettings returns the settings of the line in events.jsonl that has every key.
func allSettings() policy.Settings {
	return policy.Settings{NodeIndex: 1, NodeCount: 4, Zone: "a", SubscribeList: true, WeightByWork: true,
		Classes: []policy.Class{
			{Name: "x", LatencyObjective: 250*ms + 500*time.Microsecond, ObjectivePerWork: 1.5, Deadline: 600 * ms, RetrySafety: policy.IdempotencyKeyed,
				DedupScope: policy.DedupPerZone, DedupWindow: 5 * time.Second, LateWeight: 0.25, PriorityWeight: 5, Streaming: true,
				Kinds: []string{"big-box", "small-box"}, Zones: []string{"a", "b"}},
			{Name: "y", RetrySafety: policy.Idempotent, DedupScope: policy.DedupEverywhere},
			{Name: "z", RetrySafety: policy.NonIdempotent, DedupScope: policy.DedupPerCell},
		},
		Tenants: []policy.Tenant{{Name: "t", Quota: 42.5, Share: 0.4}},
		Allowed: policy.Allowed{Cancel: true, Probe: true, Peers: true, RetryAfter: true, MaxAttempts: 4,
			MaxRetryAfter: 3 * time.Second, IdleTimeout: 5 * time.Second},
		Rules: policy.Rules{AnswerGrace: 20 * ms, DrainGrace: 1500 * ms, SlowStartMinCapacity: 0.17, SlowStartDuration: 23 * time.Second,
			OverloadMultiple: 2.5, OverloadDuration: 3 * time.Second, PollInterval: 10 * time.Second,
			RetryBudget: &policy.RetryBudget{MinRetries: 5, RetryRatio: 0.15, Window: 6 * time.Second}},
		ReportFields: []string{"latency_ms", "util", "qps"},
	}
}

// retryBudgetSettings returns settings that have only a retry budget.
func retryBudgetSettings(b policy.RetryBudget) policy.Settings {
	return policy.Settings{Rules: policy.Rules{RetryBudget: &b}}
}

// allLines returns the lines of events.jsonl in decoded form, in order.
func allLines() []Line {
	endpoints := []policy.Endpoint{
		{ID: "s1", Zone: "a", Kind: "big-box", Weight: 1, Availability: policy.Running},
		{ID: "s2", Zone: "b", Kind: "small-box", Cell: 7, Weight: 1.5, StartedAt: 6100*ms + 500*time.Microsecond,
			Availability: policy.Draining},
		{ID: "s3", Weight: 1, Availability: policy.Removed},
	}
	lines := []Line{
		{Kind: BatchStart, Now: 8412*ms + 250*time.Microsecond},
		{Kind: ListStored},
		{Kind: ListStored},
		{Kind: Configure, Node: 3, Seed: 7},
		{Kind: Configure, Node: 3, Seed: 1<<64 - 1, Settings: allSettings()},
		{Kind: Configure, Node: 4, Seed: 1},
		{Kind: Configure, Node: 4, Seed: 1},
		{Kind: Configure, Node: 4, Seed: 1, Settings: retryBudgetSettings(policy.RetryBudget{MinRetries: 5})},
		{Kind: Configure, Node: 4, Seed: 1, Settings: retryBudgetSettings(policy.RetryBudget{RetryRatio: 0.5})},
		{Kind: Configure, Node: 4, Seed: 1, Settings: retryBudgetSettings(policy.RetryBudget{Window: 6 * time.Second})},
	}
	outcome := func(code policy.Code) policy.Event {
		return policy.Outcome{ID: "id", Server: "s1", Code: code, Latency: ms}
	}
	for _, event := range []policy.Event{
		policy.Request{ID: "id", Class: "x", Tenant: "t", Key: "k", Timeout: 240 * ms, EstimatedWork: 12 * ms, ClientRetry: true, Write: true},
		policy.Request{ID: "id", Class: "x", Timeout: 240 * ms},
		policy.EndpointList{Kind: policy.ListReplace, Endpoints: endpoints},
		policy.EndpointList{Kind: policy.ListUpdate, Endpoints: endpoints},
		policy.EndpointList{Kind: policy.ListCached, Endpoints: []policy.Endpoint{}},
		policy.EndpointList{Kind: policy.ListUnavailable},
		policy.Timer{Token: 1 << 63},
		policy.ClientCancelled{ID: "id"},
		policy.FirstByte{ID: "id", Server: "s1", Attempt: 1, Latency: 9*ms + 125*time.Microsecond},
		policy.Outcome{ID: "id", Attempt: 1, Server: "s1", Code: policy.OK, Latency: 18*ms + 500*time.Microsecond, RequestEnded: true,
			LoadReport: []float64{0.5, 14.5, 3}},
		outcome(policy.ServerError), outcome(policy.Overloaded), outcome(policy.TimedOut), outcome(policy.ConnectFailed),
		outcome(policy.Reset), outcome(policy.Cancelled), outcome(policy.NotAttempted),
		policy.ProbeResult{Server: "s1", Code: policy.OK, Latency: 1500 * time.Microsecond, LoadReport: []float64{1, 2, 3}},
		policy.ProbeResult{Server: "s1", Code: policy.TimedOut, Latency: 1500 * time.Microsecond},
		policy.PeerMessage{From: 2, Body: `hi "7" ü`},
	} {
		lines = append(lines, Line{Kind: Event, Node: 3, Event: event})
	}
	return append(lines, Line{Kind: Shutdown, Node: 3}, Line{Kind: BatchEnd})
}

// TestEveryMessageIsFrozen decodes golden lines and compares the results. The lines contain every message, every key of
// the settings and every name of a value.
func TestEveryMessageIsFrozen(t *testing.T) {
	lines, want := goldenLines(t, "events.jsonl"), allLines()
	if len(lines) != len(want) {
		t.Fatalf("lines in events.jsonl: got %d, want %d", len(lines), len(want))
	}
	var d Decoder
	for i, line := range lines {
		if got := decode(t, &d, line); !reflect.DeepEqual(got, want[i]) {
			t.Errorf("Decode(%s)\n got %+v\nwant %+v", line, got, want[i])
		}
	}
}

// TestEveryFieldOfAMessageIsFrozen decodes lines that each have one invalid value. Together, the errors
// name every message, field and key.
func TestEveryFieldOfAMessageIsFrozen(t *testing.T) {
	var out bytes.Buffer
	for _, line := range goldenLines(t, "faults.jsonl") {
		var d Decoder
		_, err := d.Decode([]byte(line))
		if err == nil {
			t.Errorf("Decode(%s): got no error, want one", line)
		}
		fmt.Fprintln(&out, err)
	}
	golden.Check(t, "faults.golden", out.Bytes())
}

// TestEveryActionIsFrozen encodes every action, and actions with optional values both with and without them.
func TestEveryActionIsFrozen(t *testing.T) {
	var out []byte
	for _, a := range []policy.Action{
		{Kind: policy.Send, ID: "id", Server: "s", AttemptDeadline: 8492*ms + 250*time.Microsecond},
		{Kind: policy.Send, ID: "id", Server: "s"},
		{Kind: policy.Reject, ID: "id", Wait: 250 * ms},
		{Kind: policy.Reject, ID: "id"},
		{Kind: policy.Fail, ID: "id"},
		{Kind: policy.Cancel, ID: "id", Attempt: 2},
		{Kind: policy.SetTimer, Wait: 500*ms + 1500*time.Nanosecond, Token: 1<<64 - 1},
		{Kind: policy.Probe, Server: "s"},
		{Kind: policy.CloseIdle, Server: "s"},
		{Kind: policy.SendPeerMessage, Peer: -1, Text: "a\nb"},
		{Kind: policy.Log, Text: `quoted "ü" <&>` + "\x7f"},
		{Kind: policy.WatchList, Enabled: true},
		{Kind: policy.WatchList},
		{Kind: policy.FetchList},
	} {
		out = AppendAction(out, 3, a)
	}
	out = AppendReplyEnd(AppendFailure(out, 3, `a "b"`))
	golden.Check(t, "actions.golden", out)
	for kind, name := range actionNames {
		if !bytes.Contains(out, []byte(`["`+name+`",`)) && name != "" { // a kind without a name is never encoded
			t.Errorf("action kind %d (%s) is not among the encoded lines", kind, name)
		}
	}
}
