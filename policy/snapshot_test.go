package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"
)

// knowledgeFile is what one process of a node hands over to another, which may be of an earlier or a later version.
const knowledgeFile = "testdata/snapshot.json"

// wholeKnowledge has another value in each field, so that no two keys can be mixed up unnoticed.
func wholeKnowledge() Snapshot {
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

func writtenKnowledge(t *testing.T, k Snapshot) []byte {
	t.Helper()
	text, err := json.MarshalIndent(k, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// A process of another version reads the keys that it knows: they stay whatever the fields are named.
func TestKnowledgeKeepsItsKeys(t *testing.T) {
	if *record {
		if err := os.WriteFile(knowledgeFile, writtenKnowledge(t, wholeKnowledge()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(knowledgeFile)
	if err != nil {
		t.Fatal(err)
	}
	if got := writtenKnowledge(t, wholeKnowledge()); !bytes.Equal(got, want) {
		t.Errorf("written as\n%s\nwant\n%s", got, want)
	}
	var read Snapshot
	if err := json.Unmarshal(want, &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, wholeKnowledge()) {
		t.Errorf("read as %+v, want %+v", read, wholeKnowledge())
	}
	if got := writtenKnowledge(t, read); !bytes.Equal(got, want) {
		t.Errorf("written back as\n%s\nwant\n%s", got, want)
	}
}

// No key rests on the name of its field.
func TestKnowledgeNamesItsKeys(t *testing.T) {
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
