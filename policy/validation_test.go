package policy

import (
	"math"
	"strings"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		wantInError string // substring of the error
		modify      func(*Settings)
	}{
		{"classes", func(s *Settings) { s.Classes = nil }},
		{"deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{`class "once": aim`, func(s *Settings) { s.Classes[1].LatencyObjective = -1 }},
		{"aim stretch", func(s *Settings) { s.Classes[0].ObjectivePerWork = nan }},
		{"window", func(s *Settings) { s.Classes[2].DedupWindow = -1 }},
		{"late worth", func(s *Settings) { s.Classes[0].LateWeight = -0.1 }},
		{"worth", func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) }},
		{"twice", func(s *Settings) { s.Classes[1].Name = "free" }},
		{"node 2", func(s *Settings) { s.NodeIndex = 2 }},
		{"group of 0", func(s *Settings) { s.NodeCount = 0 }},
		{`tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = -1 }},
		{`tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = nan }},
		{"share", func(s *Settings) { s.Tenants[0].Share = -1 }},
		{"answer grace", func(s *Settings) { s.Rules.AnswerGrace = -1 }},
		{"drain grace", func(s *Settings) { s.Rules.DrainGrace = -1 }},
		{"cold share", func(s *Settings) { s.Rules.SlowStartMinCapacity = 1.1 }},
		{"cold share", func(s *Settings) { s.Rules.SlowStartMinCapacity = nan }},
		{"fall multiple", func(s *Settings) { s.Rules.OverloadMultiple = -1 }},
		{"attempt budget: span", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{RetryRatio: 0.1} }},
		{"attempt budget: share", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{RetryRatio: nan, Window: 1} }},
		{"attempt budget: least", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{MinRetries: -1, Window: 1} }},
		{"max attempts", func(s *Settings) { s.Allowed.MaxAttempts = -1 }},
		{"max retry-after", func(s *Settings) { s.Allowed.MaxRetryAfter = -1 }},
		{"idle", func(s *Settings) { s.Allowed.IdleTimeout = -1 }},
	} {
		set := testSettings(2)
		c.modify(&set)
		if _, err := New(set, 0, 1); err == nil || !strings.Contains(err.Error(), c.wantInError) {
			t.Errorf("New with invalid settings: got error %v, want one that contains %q", err, c.wantInError)
		}
	}
}
