package policy

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The recorded events and actions fix the decisions of the package, independently of its names and structure.
// The test replays each recorded event and compares the actions with the recorded ones. Rewrite the files,
// with `go test ./policy -run TestRecorded -record`, only together with an intended change of the decisions.

const (
	recordedEventsFile  = "testdata/recorded_events.jsonl.gz"
	recordedActionsFile = "testdata/recorded_actions.txt.gz"
)

// recording holds the events of one or several processes of a node. Seed is the seed of its scenario: the
// events are drawn from it, and process i (from 0) is created with the seed Seed+i.
type recording struct {
	Name   string          `json:"name"`
	Seed   uint64          `json:"seed"`
	Count  int             `json:"events"`
	Events []recordedEvent `json:"-"`
}

// recordedEvent is one call of a Balancer. Besides At and Process, the field that is set tells which call
// it is. The JSON keys are those in the recorded files, so they stay when a field is renamed.
type recordedEvent struct {
	At              int64               `json:"t"`
	Process         int                 `json:"p,omitempty"`
	New             *recordedNew        `json:"new,omitempty"`
	Settings        *recordedSettings   `json:"settings,omitempty"`
	List            *recordedList       `json:"list,omitempty"`
	Request         *recordedRequest    `json:"request,omitempty"`
	RequestComplete string              `json:"complete,omitempty"`
	FirstByte       *recordedOutcome    `json:"first_byte,omitempty"`
	Outcome         *recordedOutcome    `json:"outcome,omitempty"`
	ClientCancelled string              `json:"client_gone,omitempty"`
	HandedOver      *recordedHandedOver `json:"hand_over,omitempty"`
	FleetSize       *recordedFleetSize  `json:"fleet,omitempty"`
	Timer           *uint64             `json:"timer,omitempty"`
	Probe           *recordedOutcome    `json:"probe,omitempty"`
	Peer            *string             `json:"peer,omitempty"`
	Restore         *recordedRestore    `json:"restore,omitempty"`
	SiblingInFlight *recordedInFlight   `json:"other,omitempty"`
	Observe         bool                `json:"observe,omitempty"` // read the exported state
}

type recordedNew struct {
	Seed     uint64           `json:"seed"`
	Settings recordedSettings `json:"settings"`
}

// recordedRestore names the process whose snapshot is restored, and the time of the snapshot on that
// process's clock.
type recordedRestore struct {
	From int   `json:"from"`
	At   int64 `json:"at"`
}

// recordedInFlight holds the number of attempts that the node's other process has in flight, by server.
type recordedInFlight struct {
	ByServer map[string]int `json:"in_flight"`
}

type recordedRequest struct {
	ID            string `json:"id"`
	Class         string `json:"class"`
	Tenant        string `json:"tenant"`
	Key           string `json:"key,omitempty"`
	Timeout       int64  `json:"expires_in"`
	EstimatedWork int64  `json:"hint,omitempty"`
	ClientRetry   bool   `json:"retry,omitempty"`
	Write         bool   `json:"write,omitempty"`
	FormerClass   bool   `json:"former,omitempty"`
	Incomplete    bool   `json:"partial,omitempty"`
}

// recordedOutcome is an Outcome, a ProbeResult or a FirstByte.
type recordedOutcome struct {
	ID           string    `json:"id,omitempty"`
	Server       string    `json:"server"`
	Attempt      int       `json:"attempt,omitempty"`
	Code         uint8     `json:"code,omitempty"`
	Latency      int64     `json:"latency,omitempty"`
	RequestEnded bool      `json:"ended,omitempty"`
	BodyConsumed bool      `json:"spent,omitempty"`
	LoadReport   []float64 `json:"report,omitempty"`
}

type recordedHandedOver struct {
	Active          bool `json:"on,omitempty"`
	SuccessorServed bool `json:"served,omitempty"`
}

type recordedFleetSize struct {
	ReachableNodes  int `json:"heard"`
	ReachableInZone int `json:"near,omitempty"`
}

type recordedList struct {
	Kind      uint8              `json:"kind"`
	Endpoints []recordedEndpoint `json:"members,omitempty"`
}

type recordedEndpoint struct {
	ID           string  `json:"server"`
	Zone         string  `json:"zone,omitempty"`
	Kind         string  `json:"kind,omitempty"`
	Cell         int64   `json:"cell,omitempty"`
	Weight       float64 `json:"weight,omitempty"`
	StartedAt    int64   `json:"online_since,omitempty"`
	Availability uint8   `json:"availability,omitempty"`
}

type recordedSettings struct {
	NodeIndex            int                  `json:"node"`
	NodeCount            int                  `json:"nodes"`
	Zone                 string               `json:"zone"`
	Classes              []recordedClass      `json:"classes"`
	Tenants              []recordedTenant     `json:"tenants,omitempty"`
	Topology             *recordedTopology    `json:"places,omitempty"`
	Limits               recordedLimits       `json:"limits"`
	Cancel               bool                 `json:"cancel,omitempty"`
	Probe                bool                 `json:"probe,omitempty"`
	Peers                bool                 `json:"peers,omitempty"`
	RetryAfter           bool                 `json:"retry_after,omitempty"`
	MaxAttempts          int                  `json:"max_attempts,omitempty"`
	MaxRetryAfter        int64                `json:"max_retry_after,omitempty"`
	IdleTimeout          int64                `json:"conn_idle,omitempty"`
	AnswerGrace          int64                `json:"answer_grace,omitempty"`
	DrainGrace           int64                `json:"drain_grace,omitempty"`
	SlowStartMinCapacity float64              `json:"cold_share,omitempty"`
	SlowStartDuration    int64                `json:"cold_for,omitempty"`
	OverloadMultiple     float64              `json:"fall_multiple,omitempty"`
	OverloadDuration     int64                `json:"fall_for,omitempty"`
	PollInterval         int64                `json:"ask_within,omitempty"`
	RetryBudget          *recordedRetryBudget `json:"budget,omitempty"`
	SubscribeList        bool                 `json:"subscribe,omitempty"`
	RetainMissing        bool                 `json:"ease_lists,omitempty"`
	WeightByWork         bool                 `json:"worth_by_work,omitempty"`
	ReportFields         []string             `json:"report,omitempty"`
}

type recordedClass struct {
	Name             string   `json:"name"`
	LatencyObjective int64    `json:"aim,omitempty"`
	ObjectivePerWork float64  `json:"aim_stretch,omitempty"`
	Deadline         int64    `json:"deadline,omitempty"`
	RetrySafety      uint8    `json:"repeat,omitempty"`
	DedupScope       uint8    `json:"group,omitempty"`
	DedupWindow      int64    `json:"window,omitempty"`
	LateWeight       float64  `json:"late_worth,omitempty"`
	PriorityWeight   float64  `json:"worth,omitempty"`
	Streaming        bool     `json:"stream,omitempty"`
	Kinds            []string `json:"kinds,omitempty"`
	Zones            []string `json:"zones,omitempty"`
	Regions          []string `json:"regions,omitempty"`
}

type recordedTenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota,omitempty"`
	Share float64 `json:"share,omitempty"`
}

type recordedLimit struct {
	PerWindow float64 `json:"per_window"`
	Window    int64   `json:"window"`
	Burst     int64   `json:"burst"`
}

type recordedLimits struct {
	Default  *recordedLimit           `json:"default,omitempty"`
	PerClass map[string]recordedLimit `json:"per_class,omitempty"`
	Max      float64                  `json:"max,omitempty"`
}

type recordedRetryBudget struct {
	MinRetries float64 `json:"least"`
	RetryRatio float64 `json:"share"`
	Window     int64   `json:"span"`
}

type recordedTopology struct {
	RegionOfZone    map[string]string             `json:"region,omitempty"`
	SameRegionCost  float64                       `json:"same_region,omitempty"`
	OtherRegionCost float64                       `json:"other_region,omitempty"`
	ZoneCosts       map[string]map[string]float64 `json:"costs,omitempty"`
}

func (l recordedLimit) limit() Limit {
	return Limit{PerWindow: l.PerWindow, Window: time.Duration(l.Window), Burst: l.Burst}
}

func (s *recordedSettings) settings() Settings {
	set := Settings{
		NodeIndex: s.NodeIndex, NodeCount: s.NodeCount, Zone: s.Zone,
		Allowed: Allowed{Cancel: s.Cancel, Probe: s.Probe, Peers: s.Peers, RetryAfter: s.RetryAfter,
			MaxAttempts: s.MaxAttempts, MaxRetryAfter: time.Duration(s.MaxRetryAfter),
			IdleTimeout: time.Duration(s.IdleTimeout)},
		Rules: Rules{AnswerGrace: time.Duration(s.AnswerGrace), DrainGrace: time.Duration(s.DrainGrace),
			SlowStartMinCapacity: s.SlowStartMinCapacity, SlowStartDuration: time.Duration(s.SlowStartDuration), OverloadMultiple: s.OverloadMultiple,
			OverloadDuration: time.Duration(s.OverloadDuration), PollInterval: time.Duration(s.PollInterval)},
		SubscribeList: s.SubscribeList, RetainMissing: s.RetainMissing, WeightByWork: s.WeightByWork, ReportFields: s.ReportFields,
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, Class{Name: c.Name, LatencyObjective: time.Duration(c.LatencyObjective), ObjectivePerWork: c.ObjectivePerWork,
			Deadline: time.Duration(c.Deadline), RetrySafety: RetrySafety(c.RetrySafety), DedupScope: DedupScope(c.DedupScope),
			DedupWindow: time.Duration(c.DedupWindow), LateWeight: c.LateWeight, PriorityWeight: c.PriorityWeight, Streaming: c.Streaming,
			Kinds: c.Kinds, Zones: c.Zones, Regions: c.Regions})
	}
	for _, t := range s.Tenants {
		var tenant Tenant // copied by field: a conversion would stop compiling if a field were renamed
		tenant.Name, tenant.Quota, tenant.Share = t.Name, t.Quota, t.Share
		set.Tenants = append(set.Tenants, tenant)
	}
	if p := s.Topology; p != nil {
		set.Topology = &Topology{RegionOfZone: p.RegionOfZone, SameRegionCost: p.SameRegionCost, OtherRegionCost: p.OtherRegionCost, ZoneCosts: p.ZoneCosts}
	}
	if b := s.RetryBudget; b != nil {
		set.Rules.RetryBudget = &RetryBudget{MinRetries: b.MinRetries, RetryRatio: b.RetryRatio, Window: time.Duration(b.Window)}
	}
	set.Limits.Max = s.Limits.Max
	if l := s.Limits.Default; l != nil {
		limit := l.limit()
		set.Limits.Default = &limit
	}
	for class, l := range s.Limits.PerClass {
		if set.Limits.PerClass == nil {
			set.Limits.PerClass = make(map[string]Limit)
		}
		set.Limits.PerClass[class] = l.limit()
	}
	return set
}

func (l *recordedList) list() EndpointList {
	list := EndpointList{Kind: ListKind(l.Kind)}
	for _, m := range l.Endpoints {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell,
			Weight: m.Weight, StartedAt: Time(m.StartedAt), Availability: Availability(m.Availability)})
	}
	return list
}

// event returns the Event to pass to Balancer.Handle, or nil if the recorded call is of another method.
func (e *recordedEvent) event() Event {
	switch {
	case e.Settings != nil:
		return e.Settings.settings()
	case e.List != nil:
		return e.List.list()
	case e.Request != nil:
		r := e.Request
		return Request{ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Timeout: time.Duration(r.Timeout),
			EstimatedWork: time.Duration(r.EstimatedWork), ClientRetry: r.ClientRetry, Write: r.Write, Incomplete: r.Incomplete}
	case e.RequestComplete != "":
		return RequestComplete{ID: e.RequestComplete}
	case e.FirstByte != nil:
		f := e.FirstByte
		return FirstByte{ID: f.ID, Server: f.Server, Attempt: f.Attempt, Latency: time.Duration(f.Latency)}
	case e.Outcome != nil:
		o := e.Outcome
		return Outcome{ID: o.ID, Server: o.Server, Attempt: o.Attempt, Code: Code(o.Code),
			Latency: time.Duration(o.Latency), RequestEnded: o.RequestEnded, BodyConsumed: o.BodyConsumed, LoadReport: o.LoadReport}
	case e.ClientCancelled != "":
		return ClientCancelled{ID: e.ClientCancelled}
	case e.HandedOver != nil:
		return HandedOver{Active: e.HandedOver.Active, SuccessorServed: e.HandedOver.SuccessorServed}
	case e.FleetSize != nil:
		return FleetSize{ReachableNodes: e.FleetSize.ReachableNodes, ReachableInZone: e.FleetSize.ReachableInZone}
	case e.Timer != nil:
		return Timer{Token: *e.Timer}
	case e.Probe != nil:
		p := e.Probe
		return ProbeResult{Server: p.Server, Code: Code(p.Code), Latency: time.Duration(p.Latency), LoadReport: p.LoadReport}
	case e.Peer != nil:
		return PeerMessage{Body: *e.Peer}
	}
	return nil
}

// replayer hands recorded events to the processes of a node.
type replayer struct {
	processes []*Balancer
	settings  []settingsHistory // of each process
}

// settingsHistory holds the settings in force, and those before them.
type settingsHistory struct{ current, former Settings }

// apply makes one recorded call. It returns the actions, and the other results of the call as a text.
func (p *replayer) apply(e *recordedEvent) (actions []Action, result string, err error) {
	now := Time(e.At)
	if e.New != nil {
		settings := e.New.Settings.settings()
		b, err := New(settings, now, e.New.Seed)
		p.processes = append(p.processes, b)
		p.settings = append(p.settings, settingsHistory{current: settings})
		return nil, fmt.Sprint("made ", err == nil), nil
	}
	if e.Process >= len(p.processes) || p.processes[e.Process] == nil {
		return nil, "", fmt.Errorf("process %d was not created, or had invalid settings", e.Process)
	}
	b := p.processes[e.Process]
	switch {
	case e.Restore != nil:
		result, err := restore(b, now, p.processes[e.Restore.From], Time(e.Restore.At))
		return nil, result, err
	case e.SiblingInFlight != nil:
		b.SetSiblingInFlight(e.SiblingInFlight.ByServer)
		return nil, "", nil
	case e.Observe:
		return nil, observed(b, now), nil
	}
	event := e.event()
	switch v := event.(type) {
	case nil:
		return nil, "", errors.New("recorded event of unknown kind")
	case Settings:
		p.settings[e.Process] = settingsHistory{current: v, former: p.settings[e.Process].current}
	case Request:
		if e.Request.FormerClass {
			v.Accepted = p.settings[e.Process].formerClass(v.Class)
		}
		event = v
	}
	return b.Handle(now, event), "", nil
}

// formerClass returns the class of a recorded request that the former settings bind, or nil if they lack the class.
// When the events were recorded, such a request had the attempts of the settings in force.
func (h settingsHistory) formerClass(name string) *AcceptedClass {
	for _, c := range h.former.Classes {
		if c.Name == name {
			return &AcceptedClass{Class: c, MaxAttempts: h.current.Allowed.MaxAttempts}
		}
	}
	return nil
}

// restore hands the state of one process to another as JSON, as a hot restart does. The processes have
// different clocks.
func restore(to *Balancer, now Time, from *Balancer, fromNow Time) (string, error) {
	state := from.Snapshot(fromNow)
	slices.SortFunc(state.Buckets, func(k, l BucketSnapshot) int { // Snapshot returns them in map order
		return cmp.Or(strings.Compare(k.Tenant, l.Tenant), strings.Compare(k.Class, l.Class))
	})
	text, err := json.Marshal(state)
	if err != nil {
		return "", err
	}
	var read Snapshot
	if err := json.Unmarshal(text, &read); err != nil {
		return "", err
	}
	to.Restore(now, read)
	return string(text), nil
}

// observed formats the state that the exported methods of a Balancer return, without texts for people.
func observed(b *Balancer, now Time) string {
	var text strings.Builder
	listed, unavailable := b.Servers()
	quotaNodes, reachable, partitioned := b.FleetSize()
	fmt.Fprint(&text, listed, unavailable, int64(b.TailLatency()), quotaNodes, reachable, partitioned)
	out := b.InFlight()
	for _, id := range slices.Sorted(maps.Keys(out)) {
		fmt.Fprint(&text, " ", id, out[id])
	}
	zones := b.Zones(now)
	fmt.Fprint(&text, " ", zones == nil)
	for _, z := range zones {
		fmt.Fprint(&text, " ", z.Zone, z.Region, z.State, formatExact(z.Cost), formatExact(z.TrafficShare), z.Servers, z.Evacuations,
			formatExact(z.Failures), formatExact(z.Responses), int64(z.RetryIn), z.EvacuationReason != "")
	}
	return text.String()
}

// formatExact returns a space followed by the float, formatted without loss.
func formatExact(v float64) string { return " " + strconv.FormatFloat(v, 'g', -1, 64) }

// digest returns one line of the file of actions: a hash of the actions and of the result (the call's other
// results, see replayer.apply), and the kinds of the actions. The hash leaves out the texts of log lines.
func digest(actions []Action, result string) string {
	text, kinds := fmt.Appendf(nil, "%q\n", result), ""
	for i := range actions {
		a := &actions[i]
		body := a.Text
		if a.Kind == Log {
			body = ""
		}
		text = fmt.Appendf(text, "%d %q %q %d %d %d %d %d %q %t\n", a.Kind, a.ID, a.Server,
			int64(a.AttemptDeadline), int64(a.Wait), a.Token, a.Attempt, a.Peer, body, a.Enabled)
		kinds += fmt.Sprint(" ", uint8(a.Kind))
	}
	hash := fnv.New32a()
	hash.Write(text)
	return fmt.Sprintf("%08x%s", hash.Sum32(), kinds)
}

func readGzip(t *testing.T, name string) *bufio.Scanner {
	t.Helper()
	packed, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<20)
	return lines
}

func writeGzip(t *testing.T, name string, text []byte) {
	t.Helper()
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readRecordings reads all recordings and, for each, the lines of its actions.
func readRecordings(t *testing.T) (all []recording, actions [][]string) {
	t.Helper()
	events, lines := readGzip(t, recordedEventsFile), readGzip(t, recordedActionsFile)
	for events.Scan() {
		var r recording
		if err := json.Unmarshal(events.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
		r.Events = make([]recordedEvent, r.Count)
		want := make([]string, r.Count)
		for i := range r.Events {
			if !events.Scan() || !lines.Scan() {
				t.Fatalf("recording %q: the events or their actions end after %d of %d", r.Name, i, r.Count)
			}
			if err := json.Unmarshal(events.Bytes(), &r.Events[i]); err != nil {
				t.Fatal(err)
			}
			want[i] = lines.Text()
		}
		all, actions = append(all, r), append(actions, want)
	}
	return all, actions
}

// writeRecordings replaces the files with the recordings and the current actions.
func writeRecordings(t *testing.T, all []recording) {
	t.Helper()
	var events, actions bytes.Buffer
	encoder := json.NewEncoder(&events)
	for _, r := range all {
		r.Count = len(r.Events)
		if err := encoder.Encode(r); err != nil {
			t.Fatal(err)
		}
		var p replayer
		for i := range r.Events {
			if err := encoder.Encode(r.Events[i]); err != nil {
				t.Fatal(err)
			}
			acts, result, err := p.apply(&r.Events[i])
			if err != nil {
				t.Fatalf("recording %q, event %d: %v", r.Name, i, err)
			}
			fmt.Fprintln(&actions, digest(acts, result))
		}
	}
	writeGzip(t, recordedEventsFile, events.Bytes())
	writeGzip(t, recordedActionsFile, actions.Bytes())
}

// TestRecordedEventsLeadToTheRecordedActions runs only on amd64, where the files were recorded. On
// other processors Go may fuse x*y + z into one instruction, which rounds once instead of twice.
func TestRecordedEventsLeadToTheRecordedActions(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the actions were recorded on amd64 and depend on its rounding of floating-point numbers")
	}
	if *record {
		writeRecordings(t, recordAll(t))
	}
	all, actions := readRecordings(t)
	total := 0
	for i, r := range all {
		total += len(r.Events)
		t.Run(r.Name, func(t *testing.T) { replay(t, r, actions[i]) })
	}
	t.Logf("%d events in %d recordings", total, len(all))
	if total < 5000 {
		t.Errorf("recorded events: got %d, want at least 5000", total)
	}
}

func replay(t *testing.T, r recording, want []string) {
	t.Helper()
	var p replayer
	for i := range r.Events {
		acts, result, err := p.apply(&r.Events[i])
		if err != nil {
			t.Fatalf("seed %d, event %d: %v", r.Seed, i, err)
		}
		if got := digest(acts, result); got != want[i] {
			event, _ := json.Marshal(r.Events[i])
			t.Fatalf("seed %d, event %d of %d: got digest %q, recorded %q\nevent: %s\nactions: %+v %s",
				r.Seed, i, len(r.Events), got, want[i], event, acts, result)
		}
	}
}
