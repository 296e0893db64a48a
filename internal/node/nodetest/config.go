package nodetest

import "strings"

// Settings is the JSON text of a node's settings in tests.
const Settings = `{"position":0,"groupSize":1,"zone":"a",
	"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"},
		{"name":"pay","aim":4000,"deadline":9000,"repeat":"single_shot"},
		{"name":"undo","aim":4000,"deadline":9000,"repeat":"guarded","group":"all","window":4000}],
	"tenants":[{"name":"t","quotaRps":1000},{"name":"tiny","quotaRps":0.001}],
	"limits":{"cancelling":true,"connIdle":60000,"connectTimeout":2000,"maxAttempts":3,"maxOpen":100,
		"retryAfter":true,"secondCopies":true},
	"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}`

// ConfigText is the text of a configuration file with the placeholders KNOWN (the list of known servers) and SETTINGS.
const ConfigText = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":KNOWN,"settings":SETTINGS}`

// FillConfig returns ConfigText with its placeholders replaced by known and settings.
func FillConfig(known, settings string) string {
	return strings.NewReplacer("KNOWN", known, "SETTINGS", settings).Replace(ConfigText)
}
