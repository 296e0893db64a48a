package config

import (
	"encoding/json"
	"slices"
	"strconv"

	"sloerail/internal/node/decode"
)

// optionalKeys are the keys that a reload may drop, at any depth of the file, or that only some entries of a list need.
var optionalKeys = []string{"control", "aimStretch", "warmKeys", "passesDeadline", "servedOn", "localitiesOnly",
	"group", "window", "fleet", "places", "ease_lists", "list_file", "scope", "minExtra", "budgetShare", "ratioSpan"}

// parseKeys parses the JSON of a configuration file, so that a reload can check that the new file has the keys of the
// previous one. It leaves out the keys inside the known list, because the protocol of the list service defines them.
func parseKeys(raw []byte) (any, error) {
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	if all["known"] != nil {
		all["known"] = true
	}
	return all, nil
}

// hasKey reports whether a configuration has a value other than null at the path.
func hasKey(keys any, path ...string) bool {
	for _, key := range path {
		object, _ := keys.(map[string]any)
		keys = object[key]
	}
	return keys != nil
}

// checkKeys returns an error for the first key found that previous has and current lacks, other than one of
// optionalKeys. Each entry of a list must have the keys that all previous entries of the list have; keys nested in an
// entry are not checked. path is the path of both.
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
		common := commonKeys(previous)
		for i, entry := range list {
			if err := checkKeys(path+"["+strconv.Itoa(i)+"]", common, entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkObject is checkKeys for two JSON objects.
func checkObject(path string, previous, current map[string]any) error {
	for key, value := range previous {
		if value == nil || slices.Contains(optionalKeys, key) {
			continue
		}
		keyPath := key
		if path != "" {
			keyPath = path + "." + key
		}
		if current[key] == nil {
			return decode.Errorf(keyPath, "missing")
		}
		if err := checkKeys(keyPath, value, current[key]); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys returns an object with the keys that all entries of a list have; nil if the list is empty or an entry is
// not an object.
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
