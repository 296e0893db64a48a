package simwire

import "sloerail/policy"

// Names of the messages that the simulator sends.
const (
	messageBatchStart      = "mark"
	messageBatchEnd        = "eob"
	messageStoreList       = "list"
	messageConfigure       = "configure"
	messageShutdown        = "shutdown"
	messageRequest         = "ingress"
	messageOutcome         = "completed"
	messageTimer           = "reminder"
	messageClientCancelled = "lapsed"
	messageFirstByte       = "headers"
	messageProbeResult     = "healthResult"
	messagePeer            = "neighbourSays"
	messageEndpointList    = "peersKnown"
)

// Names of the lines in the reply to a batch, other than actions.
const (
	lineInstanceFailed = "broken"
	lineReplyEnd       = "yield"
)

// actionNames are the names of the actions, by kind.
var actionNames = [...]string{
	policy.Send: "handOff", policy.Reject: "notNow", policy.Fail: "abort", policy.Cancel: "stopAttempt",
	policy.SetTimer: "wakeMe", policy.Probe: "poll", policy.SendPeerMessage: "announce", policy.CloseIdle: "freeLinks",
	policy.Log: "sayLog", policy.WatchList: "listen", policy.FetchList: "readList",
}

// outcomeCodes are the outcome codes of attempts and health checks, by name.
var outcomeCodes = map[string]policy.Code{
	"done": policy.OK, "err": policy.ServerError, "busy": policy.Overloaded, "etimedout": policy.TimedOut,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset,
	"ecanceled": policy.Cancelled, "skipped": policy.NotAttempted,
}

// listKinds are the kinds of endpoint lists, by name.
var listKinds = map[string]policy.ListKind{
	"replace": policy.ListReplace, "update": policy.ListUpdate,
	"restored": policy.ListCached, "unavailable": policy.ListUnavailable,
}

// availabilities are the states of a server in a list, by name.
var availabilities = map[string]policy.Availability{
	"Running": policy.Running, "Stopping": policy.Draining, "Deleted": policy.Removed,
}

// Values of the settings, by name. The empty name stands for an absent key.
var (
	retrySafeties = map[string]policy.RetrySafety{"": policy.NonIdempotent, "single_shot": policy.NonIdempotent,
		"guarded": policy.IdempotencyKeyed, "free": policy.Idempotent}
	dedupScopes = map[string]policy.DedupScope{"": policy.DedupPerCell, "cell": policy.DedupPerCell,
		"zone": policy.DedupPerZone, "all": policy.DedupEverywhere}
	subscribeByMode      = map[string]bool{"": false, "automatic": false, "subscribe": true}
	weightByWorkByMethod = map[string]bool{"": false, "request": false, "work": true}
)
