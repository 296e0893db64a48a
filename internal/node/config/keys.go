package config

import (
	"encoding/json"
	"slices"
	"strconv"

	"sloerail/internal/node/decode"
)

var (
	// droppableKeys are the keys that a reload may drop, at any depth of the file: sections that can be turned off, what only
	// the start of a process uses, and what may be absent according to the operators' pages.
	droppableKeys = []string{"control", "list_file", "fleet", "places", "scope", "ease_lists",
		"aimStretch", "warmKeys", "passesDeadline"}
	// keyedClassKeys are the keys that only the entry of a guarded class needs: other classes may drop them.
	keyedClassKeys = []string{"group", "window"}
	// retryBudgetKeys are present together, or not at all.
	retryBudgetKeys = []string{"minExtra", "budgetShare", "ratioSpan"}
	// mapKeys are keys of objects whose own keys are names that the operator chooses.
	mapKeys = []string{"regions", "costs", "only"}
)

// anyValue stands for a value of any type.
type anyValue struct{}

// parseKeys parses the JSON of a configuration file, so that a reload can check that the new file has the keys of the
// previous one. It leaves out the keys inside the known list, because the protocol of the list service defines them, and the
// list of a large fleet would take much memory.
func parseKeys(raw []byte) (any, error) {
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(raw, &sections); err != nil {
		return nil, err
	}
	keys := make(map[string]any, len(sections))
	for name, section := range sections {
		if name == "known" && isPresent(section) {
			keys[name] = anyValue{}
			continue
		}
		var value any
		if err := json.Unmarshal(section, &value); err != nil {
			return nil, err
		}
		keys[name] = value
	}
	return keys, nil
}

// valueAt returns the value at a path of a configuration; nil if there is none, or null.
func valueAt(keys any, path ...string) any {
	for _, key := range path {
		object, _ := keys.(map[string]any)
		keys = object[key]
	}
	return keys
}

// checkKeys returns an error for the first key found that previous has and current lacks, or has with a value of another
// type. droppableKeys may be absent. An entry of a list must have the keys of the previous entry of the same name or, if
// there is none, the keys that all previous entries have. path is the path of both.
func checkKeys(path string, previous, current any) error {
	switch previous := previous.(type) {
	case map[string]any:
		object, ok := current.(map[string]any)
		if !ok {
			return decode.Errorf(path, "want an object")
		}
		return checkObject(path, previous, object)
	case []any:
		list, ok := current.([]any)
		if !ok {
			return decode.Errorf(path, "want a list")
		}
		return checkList(path, previous, list)
	case string:
		if _, ok := current.(string); !ok {
			return decode.Errorf(path, "want a string")
		}
	case float64:
		if _, ok := current.(float64); !ok {
			return decode.Errorf(path, "want a number")
		}
	case bool:
		if _, ok := current.(bool); !ok {
			return decode.Errorf(path, "want true or false")
		}
	}
	return nil
}

// checkObject is checkKeys for two JSON objects.
func checkObject(path string, previous, current map[string]any) error {
	for key, value := range previous {
		keyPath := key
		if path != "" {
			keyPath = path + "." + key
		}
		switch {
		case value == nil:
		case current[key] == nil && mayDrop(key, current):
		case current[key] == nil:
			return decode.Errorf(keyPath, "missing")
		case slices.Contains(mapKeys, key):
		default:
			if err := checkKeys(keyPath, value, current[key]); err != nil {
				return err
			}
		}
	}
	return nil
}

// mayDrop reports whether a reload may drop the key from an object, of which current is the new form.
func mayDrop(key string, current map[string]any) bool {
	return slices.Contains(droppableKeys, key) || slices.Contains(keyedClassKeys, key) && !isKeyedClass(current)
}

// isKeyedClass reports whether an object is the entry of a class whose requests have idempotency keys.
func isKeyedClass(object map[string]any) bool { return object["repeat"] == "guarded" }

// checkList is checkKeys for two JSON lists.
func checkList(path string, previous, current []any) error {
	common := commonKeys(previous)
	for i, entry := range current {
		wanted := common
		if former := entryNamed(previous, valueAt(entry, "name")); former != nil {
			wanted = former
		}
		if err := checkKeys(path+"["+strconv.Itoa(i)+"]", wanted, entry); err != nil {
			return err
		}
	}
	return nil
}

// entryNamed returns the entry of a list with the name, or nil if there is none.
func entryNamed(list []any, name any) any {
	for _, entry := range list {
		if name != nil && valueAt(entry, "name") == name {
			return entry
		}
	}
	return nil
}

// commonKeys returns an object with the keys that all entries of a list have; nil if the list is empty or an entry is
// not an object. Keys nested in an entry are left out.
func commonKeys(list []any) any {
	var common map[string]any
	for i, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = make(map[string]any)
			for key := range object {
				common[key] = anyValue{}
			}
		}
		for key := range common {
			if object[key] == nil {
				delete(common, key)
			}
		}
	}
	if common == nil {
		return nil
	}
	return common
}

// checkRequiredKeys returns an error for the first key found that is missing whatever the previous file had: those of each
// class and tenant, and those that belong together.
func checkRequiredKeys(keys any) error {
	services, _ := valueAt(keys, "settings", "services").([]any)
	for i, service := range services {
		wanted := []string{"name", "deadline", "repeat"}
		if object, ok := service.(map[string]any); ok && isKeyedClass(object) {
			wanted = append(wanted, keyedClassKeys...)
		}
		if err := requireKeys("settings.services["+strconv.Itoa(i)+"]", service, wanted); err != nil {
			return err
		}
	}
	tenants, _ := valueAt(keys, "settings", "tenants").([]any)
	for i, tenant := range tenants {
		if err := requireKeys("settings.tenants["+strconv.Itoa(i)+"]", tenant, []string{"name", "quotaRps"}); err != nil {
			return err
		}
	}
	rules := valueAt(keys, "settings", "guarantees")
	for _, key := range retryBudgetKeys {
		if valueAt(rules, key) != nil {
			return requireKeys("settings.guarantees", rules, retryBudgetKeys)
		}
	}
	return nil
}

// requireKeys returns an error for the first of the wanted keys that the object at path lacks. An empty string is no name,
// nor any other value that a key needs.
func requireKeys(path string, object any, wanted []string) error {
	for _, key := range wanted {
		if value := valueAt(object, key); value == nil || value == "" {
			return decode.Errorf(path+"."+key, "missing")
		}
	}
	return nil
}
