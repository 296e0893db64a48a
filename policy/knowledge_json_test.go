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
const knowledgeFile = "testdata/knowledge.json"

// wholeKnowledge has another value in each field, so that no two keys can be mixed up unnoticed.
func wholeKnowledge() Knowledge {
	return Knowledge{
		Buckets: []KnownBucket{{Tenant: "tenant", Class: "class", Tokens: 1, Last: -2}},
		Classes: map[string]KnownClass{"class": {Tail: 3 * time.Millisecond, FirstTry: 4 * time.Millisecond}},
		Servers: map[string]KnownServer{"server": {OnlineSince: -5, Threshold: 6.5, Latency: 7.5, Reported: 8.5, Rate: 9.5,
			Score: 0.1, ColdTokens: 0.11, Felt: true, Times: 12, BusyTo: -13, HeardAt: -14, LastSend: -15, LastDone: -16,
			OutUntil: 17, ColdAt: -18}, "ejected": {Out: true}},
		Kinds: map[string]KnownLoad{"kind": {N: 19, Rate: 20.5, Latency: 0.21}},
		Usual: KnownLoad{N: 22, Rate: 23.5, Latency: 0.24},
		Took:  []Time{-25, -26}, Extra: []Time{-27},
		Pace: 0.28, Trust: 0.29, Busy: 0.3, Bad: 0.31, Done: 32.5,
		HeardAt: -33, DoneAt: -34,
	}
}

func writtenKnowledge(t *testing.T, k Knowledge) []byte {
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
	var read Knowledge
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
	check(reflect.TypeFor[Knowledge]())
}
