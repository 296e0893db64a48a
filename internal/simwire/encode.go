package simwire

import (
	"encoding/json"
	"strconv"
	"time"

	"sloerail/policy"
)

// AppendAction appends the line for an action of an instance.
func AppendAction(b []byte, node int, action policy.Action) []byte {
	b = append(b, `["`...)
	b = append(b, actionNames[action.Kind]...)
	b = append(b, `",`...)
	b = strconv.AppendInt(b, int64(node), 10)
	switch action.Kind {
	case policy.Send:
		b = appendString(appendString(b, action.ID), action.Server)
		if action.AttemptDeadline > 0 {
			b = appendMilliseconds(b, action.AttemptDeadline)
		}
	case policy.Reject:
		b = appendString(b, action.ID)
		if action.Wait > 0 {
			b = appendMilliseconds(b, action.Wait)
		}
	case policy.Fail:
		b = appendString(b, action.ID)
	case policy.Cancel:
		b = strconv.AppendInt(append(appendString(b, action.ID), ','), int64(action.Attempt), 10)
	case policy.SetTimer:
		b = strconv.AppendUint(append(appendMilliseconds(b, action.Wait), ','), action.Token, 10)
	case policy.Probe, policy.CloseIdle:
		b = appendString(b, action.Server)
	case policy.SendPeerMessage:
		b = appendString(strconv.AppendInt(append(b, ','), int64(action.Peer), 10), action.Text)
	case policy.Log:
		b = appendString(b, action.Text)
	case policy.WatchList:
		b = strconv.AppendBool(append(b, ','), action.Enabled)
	}
	return append(b, "]\n"...)
}

// AppendFailure appends the line that reports the crash of an instance.
func AppendFailure(b []byte, node int, text string) []byte {
	b = strconv.AppendInt(append(b, `["`+lineInstanceFailed+`",`...), int64(node), 10)
	return append(appendString(b, text), "]\n"...)
}

// AppendReplyEnd appends the line that ends the reply to a batch.
func AppendReplyEnd(b []byte) []byte { return append(b, `["`+lineReplyEnd+`"]`+"\n"...) }

// appendMilliseconds appends a comma and a duration in milliseconds, truncated to whole microseconds.
func appendMilliseconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(append(b, ','), float64(d/time.Microsecond)/1e3, 'f', -1, 64)
}

// appendString appends a comma and a JSON string.
func appendString(b []byte, s string) []byte {
	b = append(b, ',')
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // encoding a string never fails
			return append(b, quoted...)
		}
	}
	b = append(append(b, '"'), s...)
	return append(b, '"')
}
