package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"sloerail/internal/node/nodetest"
)

// wholeSettings has all keys of the operators' page on the settings, a class of each kind, and the keys that only some
// deployments have.
const wholeSettings = `{"charges":{"connection":0,"probe":0.01,"waste":0.055},"clients":{"marksRetry":true},
	"familyInfo":{"warmKeys":false,"passesDeadline":true},"groupSize":2,
	"guarantees":{"cold":24000,"coldShare":0.13,"drainGrace":1500,"fallMultiple":2.5,"graceToAnswer":20,"mustAskIn":10000,
		"overloadFor":3000,"minExtra":3,"budgetShare":0.1,"ratioSpan":10000},
	"kinds":["big-box"],"localities":["a"],
	"limits":{"cancelling":true,"connIdle":30000,"connectTimeout":150,"cpuUsPerRequest":0,"cpuUsPerS":15000,"maxAttempts":6,
		"maxOpen":20000,"maxRetryAfter":3000,"peerMessages":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1},
	"objectiveMix":{"whole":0.35,"worstClass":0.2},"overShareWorth":0.05,"position":0,"registryMode":"subscribe",
	"report":{"fields":["latency_ms"],"how":"answers"},"serviceType":"proxy",
	"services":[
		{"aim":1500,"aimStretch":1,"deadline":3000,"lateWorth":0,"name":"read","repeat":"free","stream":false,"value":1},
		{"aim":750,"deadline":2500,"group":"cell","lateWorth":0,"name":"order","repeat":"guarded","stream":false,"value":2,"window":12000,
			"servedOn":["big-box"],"localitiesOnly":["a"]},
		{"aim":2500,"deadline":6000,"group":"all","lateWorth":0,"name":"charge","repeat":"single_shot","stream":false,"value":5,"window":5000}],
	"tenants":[{"fraction":0.21,"name":"east","quotaRps":48}],"tick":5,"tier":0,"tiers":["api"],"weightSource":"none","worthBy":"work",
	"zone":"a"}`

// sections are the sections of the file that the operators' pages don't know.
const sections = `"control":"127.0.0.1:8600","list_file":"list","ease_lists":true,"scope":{"services":["a"]},
	"places":{"regions":{"north":["a"]},"same_region":2,"other_region":4,"costs":{"a":{"b":1}},"only":{"order":["north"]}},"seed"`

// mayBeDropped are the only keys that a reload may drop, or have as null.
var mayBeDropped = []string{"control", "list_file", "ease_lists", "scope", "places", "settings.familyInfo.warmKeys",
	"settings.familyInfo.passesDeadline", "settings.services[0].aimStretch", "settings.services[2].group",
	"settings.services[2].window"}

// namedByOperators are the objects whose keys are names, so that a key less is another configuration.
var namedByOperators = []string{"places.regions.", "places.costs.", "places.only."}

// damage is a change of one value of a file, which is at a path.
type damage struct {
	path, kind string
	apply      func(object map[string]any, key string)
}

// damages returns a damage of each kind for each value of the file.
func damages(path string, value any) (all []damage) {
	switch value := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(value)) {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			all = append(all, damage{keyPath, "dropped", func(o map[string]any, key string) { delete(o, key) }},
				damage{keyPath, "null", func(o map[string]any, key string) { o[key] = nil }},
				damage{keyPath, "of another type", func(o map[string]any, key string) { o[key] = otherType(o[key]) }})
			all = append(all, damages(keyPath, value[key])...)
		}
	case []any:
		for i, entry := range value {
			all = append(all, damages(fmt.Sprintf("%s[%d]", path, i), entry)...)
		}
	}
	return all
}

// otherType returns a value of another type than the value's.
func otherType(value any) any {
	if _, ok := value.(float64); ok {
		return "12"
	}
	return 12.0
}

// applyAt calls change with the object and the key at the path.
func applyAt(root map[string]any, path string, change func(object map[string]any, key string)) {
	names := strings.Split(path, ".")
	object := root
	for _, name := range names[:len(names)-1] {
		key, index, isEntry := strings.Cut(strings.TrimSuffix(name, "]"), "[")
		value := object[key]
		if isEntry {
			var i int
			_, _ = fmt.Sscan(index, &i)
			value = value.([]any)[i]
		}
		object = value.(map[string]any)
	}
	change(object, names[len(names)-1])
}

// Guards against a damaged file that is used: whichever key is dropped, null, or of another type, a reload rejects the whole
// file and names the key. Keys that the pages allow to be absent may be dropped.
func TestReloadRejectsEachDamagedKey(t *testing.T) {
	text := strings.Replace(nodetest.FillConfig(nodetest.KnownList("127.0.0.1:9"), wholeSettings), `"seed"`, sections, 1)
	_, reload := loadFile(t, text)
	parse := func() (root map[string]any) {
		if err := json.Unmarshal([]byte(text), &root); err != nil {
			t.Fatal(err)
		}
		return root
	}
	undamaged := parse()
	delete(undamaged, "known") // the protocol of the list service defines what is in it
	all := damages("", undamaged)
	if len(all) < 200 {
		t.Fatalf("got %d damages, want some for each key", len(all))
	}
	for _, d := range all {
		if slices.ContainsFunc(namedByOperators, func(prefix string) bool { return strings.HasPrefix(d.path, prefix) }) {
			continue
		}
		root := parse()
		applyAt(root, d.path, d.apply)
		damaged, err := json.Marshal(root)
		if err != nil {
			t.Fatal(err)
		}
		_, err = reload(string(damaged))
		allowed := d.kind != "of another type" && slices.Contains(mayBeDropped, d.path)
		key := d.path[strings.LastIndex(d.path, ".")+1:]
		if allowed && err != nil {
			t.Errorf("%s %s: got error %v, want none", d.path, d.kind, err)
		}
		if !allowed && (err == nil || !strings.Contains(err.Error(), key)) {
			t.Errorf("%s %s: got error %v, want one that names the key", d.path, d.kind, err)
		}
	}
}

// A value that no rule can be kept with, or that leaves open what is meant, makes the whole file broken.
func TestReloadRejectsEachDamagedValue(t *testing.T) {
	text := nodetest.FillConfig(nodetest.KnownList("127.0.0.1:9"), wholeSettings)
	_, reload := loadFile(t, text)
	positive := []string{`"deadline":3000`, `"deadline":2500`, `"deadline":6000`, `"maxAttempts":6`, `"groupSize":2`, `"ratioSpan":10000`}
	notNegative := []string{`"aim":750`, `"window":12000`, `"lateWorth":0`, `"value":2`, `"quotaRps":48`, `"fraction":0.21`,
		`"drainGrace":1500`, `"cold":24000`, `"coldShare":0.13`, `"fallMultiple":2.5`, `"overloadFor":3000`, `"mustAskIn":10000`,
		`"graceToAnswer":20`, `"minExtra":3`, `"budgetShare":0.1`, `"connIdle":30000`, `"connectTimeout":150`, `"maxOpen":20000`,
		`"maxRetryAfter":3000`, `"position":0`, `"aimStretch":1`}
	type change struct{ old, new string }
	changes := []change{
		{`"name":"read"`, `"name":""`}, {`"name":"read"`, `"name":"order"`}, {`"name":"east"`, `"name":""`},
		{`"repeat":"free"`, `"repeat":""`}, {`"repeat":"free"`, `"repeat":"often"`}, {`"group":"cell"`, `"group":""`},
		{`"group":"cell"`, `"group":"room"`}, {`"registryMode":"subscribe"`, `"registryMode":"never"`},
		{`"maxAttempts":6`, `"maxAttempts":1.5`}, {`"coldShare":0.13`, `"coldShare":1.5`}, {`"deadline":3000`, `"deadline":1e300`},
		{`"deadline":3000`, `"deadline":1e999`}, {`"deadline":3000`, `"deadline":0.0000001`}, {`"position":0`, `"position":2`},
		{`"kinds":["big-box"]`, `"kinds":{}`}, {`"fields":["latency_ms"]`, `"fields":[null]`}, {`"services":[`, `"services":[null,`},
		{`"tenants":[`, `"tenants":[null,`}, {`"tenants":[`, `"tenants":[{"name":"west"},`}, {`"tenants":[`, `"tenants":[{"quotaRps":1,"fraction":0},`},
	}
	for _, value := range positive {
		name, _, _ := strings.Cut(value, ":")
		changes = append(changes, change{value, name + ":0"}, change{value, name + ":-1"})
	}
	for _, value := range notNegative {
		name, _, _ := strings.Cut(value, ":")
		changes = append(changes, change{value, name + ":-1"})
	}
	for _, c := range changes {
		if !strings.Contains(text, c.old) {
			t.Fatalf("the file does not contain %s", c.old)
		}
		if _, err := reload(strings.Replace(text, c.old, c.new, 1)); err == nil {
			t.Errorf("%s instead of %s: got no error", c.new, c.old)
		}
	}
}
