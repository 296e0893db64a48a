package policy

import (
	"errors"
	"fmt"
	"math"
)

// validate returns an error for the first invalid setting. Errors name settings as the operators'
// configuration does.
func validate(set Settings) error {
	if len(set.Classes) == 0 {
		return errors.New("classes: want at least one class, got none")
	}
	if set.NodeCount < 1 || set.NodeIndex < 0 || set.NodeIndex >= set.NodeCount {
		return fmt.Errorf("node %d: not in the group of %d nodes", set.NodeIndex, set.NodeCount)
	}
	if err := validateClasses(set.Classes); err != nil {
		return err
	}
	for _, tenant := range set.Tenants {
		err := firstError(checkNonNegative("quota", tenant.Quota), checkNonNegative("share", tenant.Share))
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
		return fmt.Errorf("deadline: want more than 0, got %v", c.Deadline)
	}
	return firstError(
		checkNonNegative("aim", c.LatencyObjective.Seconds()),
		checkNonNegative("aim stretch", c.ObjectivePerWork),
		checkNonNegative("window", c.DedupWindow.Seconds()),
		checkNonNegative("late worth", c.LateWeight),
		checkNonNegative("worth", c.PriorityWeight))
}

func validateRules(rules Rules) error {
	err := firstError(
		checkNonNegative("answer grace", rules.AnswerGrace.Seconds()),
		checkNonNegative("drain grace", rules.DrainGrace.Seconds()),
		checkNonNegative("cold share", rules.SlowStartMinCapacity),
		checkNonNegative("cold for", rules.SlowStartDuration.Seconds()),
		checkNonNegative("fall multiple", rules.OverloadMultiple),
		checkNonNegative("fall for", rules.OverloadDuration.Seconds()),
		checkNonNegative("ask within", rules.PollInterval.Seconds()))
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
		return fmt.Errorf("attempt budget: span: want more than 0, got %v", rules.RetryBudget.Window)
	}
	return firstError(
		checkNonNegative("attempt budget: least", rules.RetryBudget.MinRetries),
		checkNonNegative("attempt budget: share", rules.RetryBudget.RetryRatio))
}

// validateTopology rejects negative and non-finite costs. A negative cost would make a remote zone preferable
// to the node's own zone.
func validateTopology(topology *Topology) error {
	if topology == nil {
		return nil
	}
	err := firstError(
		checkNonNegative("cost within a region", topology.SameRegionCost),
		checkNonNegative("cost between regions", topology.OtherRegionCost))
	for from, costs := range topology.ZoneCosts {
		for to, cost := range costs {
			err = firstError(err, checkNonNegative(fmt.Sprintf("cost from %s to %s", from, to), cost))
		}
	}
	return err
}

func validateAllowed(allowed Allowed) error {
	return firstError(
		checkNonNegative("max attempts", float64(allowed.MaxAttempts)),
		checkNonNegative("max retry-after", allowed.MaxRetryAfter.Seconds()),
		checkNonNegative("connection idle time", allowed.IdleTimeout.Seconds()))
}

// checkNonNegative returns an error that names the field if its value is negative, infinite or NaN.
func checkNonNegative(field string, value float64) error {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Errorf("%s: want a finite number of at least 0, got %v", field, value)
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
