package simwire

import (
	"fmt"

	"github.com/valyala/fastjson"

	"sloerail/policy"
)

// ParseSettings parses a settings object that is not part of a message, as in a node's configuration file. The error wraps
// ErrNotJSON, is a *FieldError, or says that the value is not an object.
func ParseSettings(raw []byte) (policy.Settings, error) {
	value, err := fastjson.ParseBytes(raw)
	if err != nil {
		return policy.Settings{}, notJSON(err)
	}
	if value.Type() != fastjson.TypeObject {
		return policy.Settings{}, fmt.Errorf("want an object, got %s", value.Type())
	}
	return parseSettings(value)
}

func parseSettings(value *fastjson.Value) (policy.Settings, error) {
	var err error
	root := object{value: value, err: &err}
	settings := policy.Settings{
		NodeIndex: root.integer("position"), NodeCount: root.integer("groupSize"), Zone: root.text("zone"),
		SubscribeList: enum(root, "registryMode", subscribeByMode),
		WeightByWork:  enum(root, "worthBy", weightByWorkByMethod),
	}
	root.forEach("services", func(o object) { settings.Classes = append(settings.Classes, parseClass(o)) })
	root.forEach("tenants", func(o object) {
		settings.Tenants = append(settings.Tenants, policy.Tenant{
			Name: o.text("name"), Quota: o.number("quotaRps"), Share: o.number("fraction")})
	})
	settings.Allowed = parseAllowed(root.object("limits"))
	settings.Rules = parseRules(root.object("guarantees"))
	settings.ReportFields = root.object("report").texts("fields")
	return settings, err
}

func parseClass(o object) policy.Class {
	return policy.Class{
		Name: o.text("name"), LatencyObjective: o.duration("aim"), ObjectivePerWork: o.number("aimStretch"),
		Deadline: o.duration("deadline"), RetrySafety: enum(o, "repeat", retrySafeties),
		DedupScope: enum(o, "group", dedupScopes), DedupWindow: o.duration("window"),
		LateWeight: o.number("lateWorth"), PriorityWeight: o.number("value"), Streaming: o.bool("stream"),
		Kinds: o.texts("servedOn"), Zones: o.texts("localitiesOnly"),
	}
}

func parseAllowed(o object) policy.Allowed {
	return policy.Allowed{
		Cancel: o.bool("cancelling"), Probe: o.bool("probes"),
		Peers: o.bool("peerMessages"), RetryAfter: o.bool("retryAfter"),
		MaxAttempts: o.integer("maxAttempts"), MaxRetryAfter: o.duration("maxRetryAfter"),
		IdleTimeout: o.duration("connIdle"),
	}
}

func parseRules(o object) policy.Rules {
	return policy.Rules{
		AnswerGrace: o.duration("graceToAnswer"), DrainGrace: o.duration("drainGrace"),
		SlowStartMinCapacity: o.number("coldShare"), SlowStartDuration: o.duration("cold"),
		OverloadMultiple: o.number("fallMultiple"), OverloadDuration: o.duration("overloadFor"),
		PollInterval: o.duration("mustAskIn"), RetryBudget: parseRetryBudget(o),
	}
}

// parseRetryBudget returns nil, which means no limit on retries, if all keys of the budget are absent.
func parseRetryBudget(o object) *policy.RetryBudget {
	present := false
	for _, key := range []string{"minExtra", "budgetShare", "ratioSpan"} {
		present = present || o.get(key, fastjson.TypeNumber) != nil
	}
	if !present {
		return nil
	}
	return &policy.RetryBudget{MinRetries: o.number("minExtra"), RetryRatio: o.number("budgetShare"),
		Window: o.duration("ratioSpan")}
}
