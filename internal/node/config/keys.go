package config

import (
	"encoding/json"
	"slices"
	"strconv"

	"sloerail/internal/node/decode"
)

// optionalKeys may be absent from a file though the one before had them, or are needed by some entries alone.
var optionalKeys = []string{"control", "aimStretch", "warmKeys", "passesDeadline", "servedOn", "localitiesOnly",
	"group", "window", "fleet", "places", "ease_lists", "list_file", "scope", "minExtra", "budgetShare", "ratioSpan"}

// keysOf is the JSON of a configuration, whose keys the next one has to have. Those of the known list are left out: the
// list service's form binds them.
func keysOf(raw []byte) (any, error) {
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	if all["known"] != nil {
		all["known"] = true
	}
	return all, nil
}

// hasKey reports whether a configuration has a key; the path leads there.
func hasKey(keys any, path ...string) bool {
	for _, key := range path {
		object, _ := keys.(map[string]any)
		keys = object[key]
	}
	return keys != nil
}

// checkKeys reports the first key that now lacks though before has it; path leads to both.
func checkKeys(path string, before, now any) error {
	switch before := before.(type) {
	case map[string]any:
		object, ok := now.(map[string]any)
		if !ok {
			return decode.Errorf(path, "want an object")
		}
		return checkObject(path, before, object)
	case []any:
		list, ok := now.([]any)
		if !ok {
			return decode.Errorf(path, "want a list")
		}
		common := commonKeys(before)
		for i, entry := range list {
			if err := checkKeys(path+"["+strconv.Itoa(i)+"]", common, entry); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkObject(path string, before, now map[string]any) error {
	for key, value := range before {
		if value == nil || slices.Contains(optionalKeys, key) {
			continue
		}
		at := key
		if path != "" {
			at = path + "." + key
		}
		if now[key] == nil {
			return decode.Errorf(at, "missing")
		}
		if err := checkKeys(at, value, now[key]); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys are those that all entries of a list have; nil if they are no objects, or there are none.
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
				common[key] = true
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
