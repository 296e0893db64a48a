package nodetest

import (
	"fmt"
	"strings"
)

// ListEntry returns an entry of the endpoint list as the list service encodes it.
func ListEntry(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q,"up_since_ms":0}`, id, phase)
}

// ListChange returns an incremental list: the entries that changed up to revision.
func ListChange(revision int, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, revision, strings.Join(entries, ","))
}

// FullList returns the complete list at revision.
func FullList(revision int, entries ...string) string {
	return strings.Replace(ListChange(revision, entries...), `"complete":false`, `"complete":true`, 1)
}

// KnownList returns a complete list of the servers at addrs, with the IDs s0, s1 and so on.
func KnownList(addrs ...string) string {
	var entries []string
	for i, a := range addrs {
		entries = append(entries, fmt.Sprintf(
			`{"id":"s%d","host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":"up","size":1,"up_since_ms":0}`, i, a))
	}
	return fmt.Sprintf(`{"revision":7,"complete":true,"members":[%s]}`, strings.Join(entries, ","))
}
