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

// Names of the lines that answer a batch, beside the actions'.
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

// outcomeCodes are the words for how an attempt or a health check ended.
var outcomeCodes = map[string]policy.Code{
	"done": policy.OK, "err": policy.ServerError, "busy": policy.Overloaded, "etimedout": policy.TimedOut,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset,
	"ecanceled": policy.Cancelled, "skipped": policy.NotAttempted,
}

// listKinds are the words for what an endpoint list stands for.
var listKinds = map[string]policy.ListKind{
	"replace": policy.ListReplace, "update": policy.ListUpdate,
	"restored": policy.ListCached, "unavailable": policy.ListUnavailable,
}

// availabilities are the words for the states of a server in a list.
var availabilities = map[string]policy.Availability{
	"Running": policy.Running, "Stopping": policy.Draining, "Deleted": policy.Removed,
}

// Words of the settings; the empty one stands for an absent key.
var (
	retrySafeties = map[string]policy.RetrySafety{"": policy.NonIdempotent, "single_shot": policy.NonIdempotent,
		"guarded": policy.IdempotencyKeyed, "free": policy.Idempotent}
	dedupScopes = map[string]policy.DedupScope{"": policy.DedupPerCell, "cell": policy.DedupPerCell,
		"zone": policy.DedupPerZone, "all": policy.DedupEverywhere}
	subscribesByMode   = map[string]bool{"": false, "automatic": false, "subscribe": true}
	weighsWorkByMethod = map[string]bool{"": false, "request": false, "work": true}
)
