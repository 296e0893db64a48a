package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"
)

// snapshotFile is what one process of a node hands over to another, which may be of an earlier or a later version.
const snapshotFile = "testdata/snapshot.json"

// fullSnapshot has another value in each field, so that no two keys can be mixed up unnoticed.
func fullSnapshot() Snapshot {
	return Snapshot{
		Buckets: []BucketSnapshot{{Tenant: "tenant", Class: "class", Tokens: 1, RefilledAt: -2}},
		Classes: map[string]ClassSnapshot{"class": {TailLatency: 3 * time.Millisecond, FirstTryTimeout: 4 * time.Millisecond}},
		Servers: map[string]ServerSnapshot{"server": {StartedAt: -5, ConcurrencyLimit: 6.5, MeanLatency: 7.5, ReportedLatency: 8.5, ReportedRate: 9.5,
			FailureScore: 0.1, WarmupTokens: 0.11, LimitReached: true, Ejections: 12, BusyUntil: -13, ReportedAt: -14, LastSentAt: -15, LastResponseAt: -16,
			EjectedUntil: 17, WarmupRefilledAt: -18}, "ejected": {Ejected: true}},
		LoadByKind:  map[string]LoadSnapshot{"kind": {Samples: 19, Rate: 20.5, Latency: 0.21}},
		TypicalLoad: LoadSnapshot{Samples: 22, Rate: 23.5, Latency: 0.24},
		AcceptedAt:  []Time{-25, -26}, RetriesAt: []Time{-27},
		RateMultiplier: 0.28, WindowScale: 0.29, Utilization: 0.3, BadRatio: 0.31, CompletionRate: 32.5,
		ReportedAt: -33, CompletionRateAt: -34,
	}
}

func encodeSnapshot(t *testing.T, k Snapshot) []byte {
	t.Helper()
	text, err := json.MarshalIndent(k, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// A process of another version reads the keys that it knows: they stay whatever the fields are named.
func TestSnapshotKeepsItsKeys(t *testing.T) {
	if *record {
		if err := os.WriteFile(snapshotFile, encodeSnapshot(t, fullSnapshot()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	if got := encodeSnapshot(t, fullSnapshot()); !bytes.Equal(got, want) {
		t.Errorf("written as\n%s\nwant\n%s", got, want)
	}
	var read Snapshot
	if err := json.Unmarshal(want, &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, fullSnapshot()) {
		t.Errorf("read as %+v, want %+v", read, fullSnapshot())
	}
	if got := encodeSnapshot(t, read); !bytes.Equal(got, want) {
		t.Errorf("written back as\n%s\nwant\n%s", got, want)
	}
}

// No key rests on the name of its field.
func TestSnapshotFieldsHaveKeys(t *testing.T) {
	seen := make(map[reflect.Type]bool)
	var check func(of reflect.Type)
	check = func(of reflect.Type) {
		switch of.Kind() {
		case reflect.Slice, reflect.Map:
			check(of.Elem())
		case reflect.Struct:
			if seen[of] {
				return
			}
			seen[of] = true
			for i := range of.NumField() {
				if f := of.Field(i); f.Tag.Get("json") == "" {
					t.Errorf("%s.%s has no key", of.Name(), f.Name)
				}
				check(of.Field(i).Type)
			}
		}
	}
	check(reflect.TypeFor[Snapshot]())
}

// A process restores what another one measured, by a clock of its own.
func TestSnapshotIsRestoredOnAnotherClock(t *testing.T) {
	set := site(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0, Window: 10 * time.Second}
	list := append(members(3), Endpoint{ID: "young", Zone: "a", StartedAt: 8 * time.Second, Weight: 1})
	old := start(t, set, list)
	now := 10 * time.Second
	first := sentTo(t, old.Handle(now, ask("a", "free")))
	old.Handle(now, Outcome{ID: "a", Server: first, Code: Overloaded})
	old.servers["s01"].concurrencyLimit, old.servers["young"].warmupBudget.tokens = 7, 0.25
	old.servers["s02"].outlier = outlierState{failureScore: 0.4, ejected: true, ejectedUntil: 12 * time.Second, ejections: 2}
	snapshot := old.Snapshot(now)

	const ahead = 40 * time.Second
	for i := range list {
		if list[i].StartedAt > 0 {
			list[i].StartedAt += ahead + ms
		}
	}
	successor, err := New(set, now+ahead, 2)
	if err != nil {
		t.Fatal(err)
	}
	successor.Handle(now+ahead, EndpointList{Kind: ListCached, Endpoints: list})
	successor.Restore(now+ahead, snapshot)
	if got := successor.servers["s01"].concurrencyLimit; got != 7 {
		t.Errorf("limit %v", got)
	}
	if got := successor.servers["young"].warmupBudget; got.tokens != 0.25 {
		t.Errorf("warm-up budget %+v", got)
	}
	if got := successor.servers["s02"].outlier; !got.ejected || got.ejectedUntil != 12*time.Second+ahead || got.ejections != 2 {
		t.Errorf("outlier state %+v", got)
	}
	if listed, unavailable := successor.Servers(); listed != 4 || unavailable != 1 {
		t.Errorf("%d servers, %d unavailable", listed, unavailable)
	}
	if successor.mayRetry() {
		t.Error("the retry budget was used up before")
	}
	for i := range list { // a server that started again is another
		list[i].StartedAt = now + ahead
	}
	fresh := start(t, set, list)
	fresh.Restore(now+ahead, snapshot)
	if got := fresh.servers["s01"].concurrencyLimit; got == 7 {
		t.Error("a new process of a server inherits the limit of its former one")
	}
}

func TestSnapshotClockKeepsDistances(t *testing.T) {
	const now, ahead = 10 * time.Second, 40 * time.Second
	for _, c := range []struct{ at, want Time }{
		{0, 0}, // never
		{7 * time.Second, 7*time.Second + ahead},
		{now, now + ahead - 1}, // not never
		{12 * time.Second, 12*time.Second + ahead},
	} {
		if got := (snapshotClock{now + ahead}).fromSnapshot(snapshotClock{now}.toSnapshot(c.at)); got != c.want {
			t.Errorf("%v is %v on a clock that is %v ahead, want %v", c.at, got, ahead, c.want)
		}
	}
}
