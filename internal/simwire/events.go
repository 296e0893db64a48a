package simwire

import (
	"fmt"

	"github.com/valyala/fastjson"

	"sloerail/policy"
)

// event decodes a message that is an event for an instance. It is on the hot path of each request.
func (d *Decoder) event(name string, f *fields) (policy.Event, error) {
	switch name {
	case messageRequest:
		return f.request(), nil
	case messageOutcome:
		return f.outcome(), nil
	case messageTimer:
		return policy.Timer{Token: f.uint(1, "token")}, nil
	case messageClientCancelled:
		return policy.ClientCancelled{ID: f.text(1, "ticket")}, nil
	case messageFirstByte:
		return policy.FirstByte{ID: f.text(1, "ticket"), Attempt: f.int(2, "roundNo"),
			Latency: f.duration(3, "waitTime"), Server: f.internedText(4, "server")}, nil
	case messageProbeResult:
		return policy.ProbeResult{Latency: f.duration(1, "waitTime"), Code: f.outcomeCode(2),
			Server: f.internedText(3, "server"), LoadReport: f.loadReport(4)}, nil
	case messagePeer:
		return policy.PeerMessage{From: f.int(1, "from"), Body: f.text(2, "body")}, nil
	case messageEndpointList:
		return d.endpointList(f)
	}
	return nil, ErrUnknownMessage
}

// settings decodes the settings of an instance. If the field is missing or not an object, it sets f.err and returns empty
// settings.
func (f *fields) settings(i int) (policy.Settings, error) {
	value := f.required(i, "conf", fastjson.TypeObject)
	if value == nil {
		return policy.Settings{}, nil
	}
	settings, err := parseSettings(value)
	if err != nil {
		return settings, fmt.Errorf("conf: %w", err)
	}
	return settings, nil
}

func (f *fields) request() policy.Request {
	return policy.Request{
		ID: f.text(1, "ticket"), Class: f.internedText(2, "cls"), Tenant: f.optionalInternedText(3, "team"),
		Key: f.optionalText(4, "object"), Timeout: f.duration(5, "expiresIn"), EstimatedWork: f.optionalDuration(6, "effort"),
		ClientRetry: f.optionalBool(7, "isRetry"), Write: f.optionalBool(8, "update"),
	}
}

func (f *fields) outcome() policy.Outcome {
	return policy.Outcome{
		ID: f.text(1, "ticket"), Attempt: f.int(2, "roundNo"), Server: f.internedText(3, "server"),
		Code: f.outcomeCode(4), Latency: f.duration(5, "waitTime"), RequestEnded: f.optionalBool(6, "doneFlag"),
		LoadReport: f.loadReport(7),
	}
}

func (f *fields) outcomeCode(i int) policy.Code {
	word := f.internedText(i, "rc")
	code, ok := outcomeCodes[word]
	if !ok {
		f.fail("rc", "unknown outcome code %q", word)
	}
	return code
}
