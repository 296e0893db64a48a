package nodetest

import (
	"fmt"
	"strings"
)

// ListEntry is an entry of the endpoint list, as the list service writes it.
func ListEntry(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q,"up_since_ms":0}`, id, phase)
}

// ListChange is a list of what changed up to a revision.
func ListChange(revision int, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, revision, strings.Join(entries, ","))
}

// FullList is the whole list as of a revision.
func FullList(revision int, entries ...string) string {
	return strings.Replace(ListChange(revision, entries...), `"complete":false`, `"complete":true`, 1)
}

// KnownList is a complete list of the servers at the addresses, named s0, s1 and so on.
func KnownList(addrs ...string) string {
	var entries []string
	for i, a := range addrs {
		entries = append(entries, fmt.Sprintf(
			`{"id":"s%d","host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":"up","size":1,"up_since_ms":0}`, i, a))
	}
	return fmt.Sprintf(`{"revision":7,"complete":true,"members":[%s]}`, strings.Join(entries, ","))
}
