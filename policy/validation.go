package policy

import (
	"errors"
	"fmt"
	"math"
)

// validate returns an error that names the first setting that makes no sense. Errors name settings as the
// operators' configuration does.
func validate(set Settings) error {
	if len(set.Classes) == 0 {
		return errors.New("classes: there are none")
	}
	if set.NodeCount < 1 || set.NodeIndex < 0 || set.NodeIndex >= set.NodeCount {
		return fmt.Errorf("node %d: outside the group of %d", set.NodeIndex, set.NodeCount)
	}
	if err := validateClasses(set.Classes); err != nil {
		return err
	}
	for _, tenant := range set.Tenants {
		err := firstError(notBelowZero("quota", tenant.Quota), notBelowZero("share", tenant.Share))
		if err != nil {
			return fmt.Errorf("tenant %q: %w", tenant.Name, err)
		}
	}
	if err := validateRules(set.Rules); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	if err := validateTopology(set.Topology); err != nil {
		return fmt.Errorf("places: %w", err)
	}
	if err := validateAllowed(set.Allowed); err != nil {
		return fmt.Errorf("allowed: %w", err)
	}
	return nil
}

func validateClasses(classes []Class) error {
	seen := make(map[string]bool)
	for _, c := range classes {
		if err := validateClass(c); err != nil {
			return fmt.Errorf("class %q: %w", c.Name, err)
		}
		if seen[c.Name] {
			return fmt.Errorf("class %q: named twice", c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}

func validateClass(c Class) error {
	if c.Deadline <= 0 {
		return errors.New("deadline: missing or negative")
	}
	return firstError(
		notBelowZero("aim", c.LatencyObjective.Seconds()),
		notBelowZero("aim stretch", c.ObjectivePerWork),
		notBelowZero("window", c.DedupWindow.Seconds()),
		notBelowZero("late worth", c.LateWeight),
		notBelowZero("worth", c.PriorityWeight))
}

func validateRules(rules Rules) error {
	err := firstError(
		notBelowZero("answer grace", rules.AnswerGrace.Seconds()),
		notBelowZero("drain grace", rules.DrainGrace.Seconds()),
		notBelowZero("cold share", rules.SlowStartMinCapacity),
		notBelowZero("cold for", rules.SlowStartDuration.Seconds()),
		notBelowZero("fall multiple", rules.OverloadMultiple),
		notBelowZero("fall for", rules.OverloadDuration.Seconds()),
		notBelowZero("ask within", rules.PollInterval.Seconds()))
	if err != nil {
		return err
	}
	if rules.SlowStartMinCapacity > 1 {
		return fmt.Errorf("cold share: want at most 1, got %v", rules.SlowStartMinCapacity)
	}
	if rules.RetryBudget == nil {
		return nil
	}
	if rules.RetryBudget.Window <= 0 {
		return errors.New("attempt budget: span: missing or negative")
	}
	return firstError(
		notBelowZero("attempt budget: least", rules.RetryBudget.MinRetries),
		notBelowZero("attempt budget: share", rules.RetryBudget.RetryRatio))
}

// validateTopology rejects negative costs: they would make a far zone preferable to the own one.
func validateTopology(topology *Topology) error {
	if topology == nil {
		return nil
	}
	err := firstError(
		notBelowZero("cost within a region", topology.SameRegionCost),
		notBelowZero("cost between regions", topology.OtherRegionCost))
	for from, costs := range topology.ZoneCosts {
		for to, cost := range costs {
			err = firstError(err, notBelowZero(fmt.Sprintf("cost from %s to %s", from, to), cost))
		}
	}
	return err
}

func validateAllowed(allowed Allowed) error {
	return firstError(
		notBelowZero("max attempts", float64(allowed.MaxAttempts)),
		notBelowZero("max retry-after", allowed.MaxRetryAfter.Seconds()),
		notBelowZero("connection idle time", allowed.IdleTimeout.Seconds()))
}

// notBelowZero returns an error that names the field if its value is negative, infinite or no number.
func notBelowZero(field string, value float64) error {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Errorf("%s: want a figure of 0 or more, got %v", field, value)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
