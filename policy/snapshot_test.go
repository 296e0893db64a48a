package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"
)

// snapshotFile contains a snapshot as one process of a node hands it over to another, which may have an
// earlier or a later version.
const snapshotFile = "testdata/snapshot.json"

// fullSnapshot returns a snapshot with a different value in each field, so that the tests detect swapped
// keys.
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

// The JSON keys of a snapshot stay the same when its fields are renamed, because processes of other versions
// read them.
func TestSnapshotKeysAreFrozen(t *testing.T) {
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
		t.Errorf("encoded snapshot: got\n%s\nwant\n%s", got, want)
	}
	var read Snapshot
	if err := json.Unmarshal(want, &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, fullSnapshot()) {
		t.Errorf("decoded snapshot: got %+v, want %+v", read, fullSnapshot())
	}
	if got := encodeSnapshot(t, read); !bytes.Equal(got, want) {
		t.Errorf("snapshot decoded and encoded again: got\n%s\nwant\n%s", got, want)
	}
}

// Each field of a snapshot has an explicit JSON key.
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
					t.Errorf("%s.%s has no json tag", of.Name(), f.Name)
				}
				check(of.Field(i).Type)
			}
		}
	}
	check(reflect.TypeFor[Snapshot]())
}

// A process restores the state of another process whose clock differs.
func TestSnapshotIsRestoredOnAnotherClock(t *testing.T) {
	set := testSettings(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0, Window: 10 * time.Second}
	list := append(testEndpoints(3), Endpoint{ID: "young", Zone: "a", StartedAt: 8 * time.Second, Weight: 1})
	old := startBalancer(t, set, list)
	now := 10 * time.Second
	first := sentTo(t, old.Handle(now, newRequest("a", "free")))
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
		t.Errorf("restored concurrency limit of s01: got %v, want 7", got)
	}
	if got := successor.servers["young"].warmupBudget; got.tokens != 0.25 {
		t.Errorf("restored warm-up budget of young: got %+v, want 0.25 tokens", got)
	}
	if got := successor.servers["s02"].outlier; !got.ejected || got.ejectedUntil != 12*time.Second+ahead || got.ejections != 2 {
		t.Errorf("restored outlier state of s02: got %+v, want 2 ejections, the last until 12 s on the old clock",
			got)
	}
	if listed, unavailable := successor.Servers(); listed != 4 || unavailable != 1 {
		t.Errorf("servers: got %d listed, %d unavailable; want 4, 1", listed, unavailable)
	}
	if successor.mayRetry() {
		t.Error("mayRetry returns true, want false: the former process used up the retry budget")
	}
	for i := range list { // the servers restart
		list[i].StartedAt = now + ahead
	}
	fresh := startBalancer(t, set, list)
	fresh.Restore(now+ahead, snapshot)
	if got := fresh.servers["s01"].concurrencyLimit; got == 7 {
		t.Error("restarted server s01 got the concurrency limit from before its restart")
	}
}

func TestSnapshotTimesAreConvertedToAnotherClock(t *testing.T) {
	const now, ahead = 10 * time.Second, 40 * time.Second
	for _, c := range []struct{ at, want Time }{
		{0, 0}, // never
		{7 * time.Second, 7*time.Second + ahead},
		{now, now + ahead - 1}, // must differ from never
		{12 * time.Second, 12*time.Second + ahead},
	} {
		if got := (snapshotClock{now + ahead}).fromSnapshot(snapshotClock{now}.toSnapshot(c.at)); got != c.want {
			t.Errorf("time %v: got %v on a clock that is %v ahead, want %v", c.at, got, ahead, c.want)
		}
	}
}
