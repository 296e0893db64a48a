package config

import "runtime/debug"

const (
	unknownVersion = "unknown"
	revisionDigits = 12
)

// Version is that of this build: the source's revision as the tool chain knows it, with "+" if the source had changes.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	version, changed := unknownVersion, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) >= revisionDigits:
			version = s.Value[:revisionDigits]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return version + changed
}
