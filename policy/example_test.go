package policy_test

import (
	"fmt"
	"time"

	"sloerail/policy"
)

// Example shows a node's whole cycle: settings, the list of servers, a request, its outcomes, a timer. A
// Balancer needs no closing.
func Example() {
	const ms = time.Millisecond
	b, err := policy.New(policy.Settings{
		NodeCount: 1,
		Classes: []policy.Class{{Name: "read", LatencyObjective: 200 * ms, Deadline: time.Second,
			RetrySafety: policy.Idempotent}},
		Tenants: []policy.Tenant{{Name: "acme", Quota: 50}},
		Allowed: policy.Allowed{MaxAttempts: 2},
	}, 0, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	// The host carries out the actions in order; here it only prints those that concern a request.
	execute := func(acts []policy.Action) {
		for _, a := range acts {
			switch a.Kind {
			case policy.Send:
				fmt.Println("send", a.ID, "to", a.Server, "until", a.AttemptDeadline)
			case policy.Reject:
				fmt.Println("reject", a.ID, "for", a.Wait)
			case policy.SetTimer: // hand policy.Timer{Token: a.Token} back after a.Wait
			}
		}
	}
	execute(b.Handle(0, policy.EndpointList{Endpoints: []policy.Endpoint{{ID: "one"}, {ID: "two"}}}))
	now := time.Second
	execute(b.Handle(now, policy.Request{ID: "r1", Class: "read", Tenant: "acme", Timeout: time.Second}))
	now += 100 * ms
	execute(b.Handle(now, policy.Outcome{ID: "r1", Server: "one", Code: policy.ConnectFailed,
		Latency: 100 * ms}))
	now += 20 * ms
	execute(b.Handle(now, policy.Outcome{ID: "r1", Attempt: 1, Server: "two", Code: policy.OK,
		Latency: 20 * ms, RequestEnded: true}))

	// Without a server in service, a request is queued, and rejected while its client still waits.
	execute(b.Handle(now, policy.EndpointList{Kind: policy.ListReplace}))
	execute(b.Handle(now, policy.Request{ID: "r2", Class: "read", Tenant: "acme", Timeout: time.Second}))
	for range 6 {
		now += 20 * ms
		execute(b.Handle(now, policy.Timer{Token: 1}))
	}
	// Output:
	// send r1 to one until 1.2s
	// send r1 to two until 1.2s
	// reject r2 for 0s
}
