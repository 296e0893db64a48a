package config

import "runtime/debug"

const (
	unknownVersion = "unknown"
	revisionDigits = 12
)

// Version returns the version of this build: the source revision that the Go tool recorded, with "+" if the source had
// uncommitted changes. Without a recorded revision, it is unknownVersion.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	version, suffix := unknownVersion, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) >= revisionDigits:
			version = s.Value[:revisionDigits]
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+"
		}
	}
	return version + suffix
}
