package main

import (
	"bytes"
	"strings"
	"testing"

	"sloerail/policy"
)

const configureTemplate = `["configure",N,7,{"position":0,"groupSize":2,"zone":"a",` +
	`"services":[{"name":"x","aim":250,"deadline":600,"repeat":"free"}],"limits":{"maxAttempts":3}}]`

const listMessage = `["list",0,[[null,"Running",1,"k","a",0,"s1"],[null,"Running",1,"k","a",0,"s2"]]]`

func configureMessage(node string) string { return strings.Replace(configureTemplate, "N", node, 1) }

func joinLines(l ...string) string { return strings.Join(l, "\n") + "\n" }

func TestServeRepliesWithActions(t *testing.T) {
	in := joinLines(`["mark",0]`, `["eob"]`, `["mark",5]`, listMessage, configureMessage("3"), `["peersKnown",3,"restored",1,0]`,
		`["ingress",3,"r1","x",null,null,300]`, `["eob"]`)
	var out bytes.Buffer
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"[\"yield\"]\n[\"handOff\",3,\"r1\",\"s1\",255]\n", "[\"wakeMe\",3,"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("reply lacks %q:\n%s", want, out.String())
		}
	}
}

func TestErrorsContainLineNumber(t *testing.T) {
	for in, want := range map[string]string{
		joinLines(`["mark",0]`, `["ingress",3,"id"]`):                      "line 2: ingress: cls",
		joinLines(`["eob"]`):                                               "line 1",
		joinLines(`["mark",0]`):                                            "line 2: input ended inside a batch",
		joinLines(`["mark",0]`, `["configure",1,2,{}]`):                    "classes",
		joinLines(`["mark",0]`, `["surprise",1]`):                          "line 2: surprise: unknown message",
		joinLines(`["mark",0]`, `["reminder",1,"x"]`):                      "line 2: reminder: token: want number",
		joinLines(`["mark",0]`, `["completed",1,"r",0,"s","odd",1,false]`): "line 2: completed: rc: unknown outcome code",
		joinLines(`["mark",0]`, `["peersKnown",3,"replace",1,9]`):          "line 2: peersKnown: buffer: list 9 was never sent",
		joinLines(`["mark",0]`, `["mark",5]`):                              "line 2: message outside of a batch, or start of a batch within a batch",
		joinLines(`["reminder",1,7]`):                                      "line 1: message outside of a batch",
		joinLines(`["mark",0]`, `[`):                                       "line 2: not JSON",
		joinLines(`["mark",0]`, strings.Replace(configureMessage("1"), `"limits":{`, `"guarantees":{"budgetShare":0.1},"limits":{`, 1)): "attempt budget: span",
		joinLines(`["mark",0]`, strings.Replace(configureMessage("1"), "0", "9", 1)):                                                    "node 9",
	} {
		err := serve(strings.NewReader(in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("input %q: got error %v, want one that contains %q", in, err, want)
		}
	}
}

// An instance gives the same replies whether it is alone in its process or shares the process with another instance.
func TestInstancesAreIndependent(t *testing.T) {
	run := func(nodes ...string) string {
		l := []string{`["mark",1]`, listMessage}
		for _, n := range nodes {
			l = append(l, configureMessage(n), `["peersKnown",`+n+`,"restored",1,0]`)
		}
		for _, n := range nodes {
			l = append(l, `["ingress",`+n+`,"r`+n+`","x",null,null,300]`)
		}
		var out bytes.Buffer
		if err := serve(strings.NewReader(joinLines(append(l, `["eob"]`)...)), &out); err != nil {
			t.Fatal(err)
		}
		return strings.TrimSuffix(out.String(), "[\"yield\"]\n")
	}
	if got, want := run("1", "2"), run("1")+run("2"); got != want {
		t.Errorf("replies of two instances in one process: got\n%swant the same replies as in two processes:\n%s", got, want)
	}
}

func TestRestartWithinBatchDropsRequests(t *testing.T) {
	in := joinLines(`["mark",0]`, listMessage, configureMessage("3"), `["peersKnown",3,"restored",1,0]`,
		`["ingress",3,"r1","x",null,null,300]`, `["shutdown",3]`, `["lapsed",3,"r1"]`, configureMessage("3"),
		`["peersKnown",3,"restored",1,0]`, `["completed",3,"r1",0,"s1","err",1,false]`, `["eob"]`)
	var out bytes.Buffer
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), `"handOff"`); n != 1 {
		t.Errorf("handOff actions: got %d, want only the one from before the restart: the new instance doesn't know r1\n%s", n, out.String())
	}
}

// A panic in an instance removes it, and the reply contains the text of the panic.
func TestPanicRemovesInstance(t *testing.T) {
	a := adapter{balancers: map[int]*policy.Balancer{3: nil}}
	a.deliver(3, nil, policy.Timer{})
	if got := string(a.reply); !strings.HasPrefix(got, `["broken",3,"`) || !strings.Contains(got, "nil pointer") {
		t.Errorf("reply to a panic of node 3: got %s, want a broken message that contains 'nil pointer'", got)
	}
	if _, present := a.balancers[3]; present {
		t.Error("the instance of node 3 is still present after its panic")
	}
}
