package registry

import "testing"

// isNotified reports whether a watcher has been notified since the last call.
func isNotified(w *watcher) bool {
	select {
	case <-w.notify:
		return true
	default:
		return false
	}
}

func TestNotificationsAreMergedUntilReceived(t *testing.T) {
	var g watcherGroup
	a, b := g.add([]string{"a", "shared"}), g.add([]string{"b", "shared"})
	for range 3 {
		g.markChanged([]change{{Endpoint: Endpoint{ID: "s0", Service: "a"}}})
		g.notify()
	}
	if !isNotified(a) || isNotified(a) || isNotified(b) {
		t.Error("three changes of service a: want its watcher notified once, and no other watcher")
	}
	g.notify()
	if isNotified(a) {
		t.Error("second notify without a change: got a notification, want none")
	}
	g.markChanged([]change{{Endpoint: Endpoint{ID: "s0", Service: "shared"}}})
	g.notify()
	if !isNotified(a) || !isNotified(b) {
		t.Error("a change of a shared service: want both watchers notified")
	}
}

func TestMovedEndpointNotifiesBothServices(t *testing.T) {
	var g watcherGroup
	before, after := g.add([]string{"before"}), g.add([]string{"after"})
	g.markChanged([]change{{Endpoint: Endpoint{ID: "s0", Service: "after"}, Previous: &Placement{Service: "before"}}})
	g.notify()
	if !isNotified(before) || !isNotified(after) {
		t.Error("endpoint moved between services: want the watchers of both notified")
	}
}

func TestMarkAllChangedNotifiesEveryWatcherOnce(t *testing.T) {
	var g watcherGroup
	a, b := g.add([]string{"a"}), g.add([]string{"b"})
	g.markAllChanged()
	g.notify()
	if !isNotified(a) || !isNotified(b) {
		t.Error("markAllChanged: want all watchers notified")
	}
	g.notify()
	if isNotified(a) || isNotified(b) {
		t.Error("second notify without a change: got a notification, want none")
	}
}

func TestRemovedWatcherIsForgotten(t *testing.T) {
	var g watcherGroup
	a := g.add([]string{"a", "b"})
	g.remove(a)
	g.markChanged([]change{{Endpoint: Endpoint{ID: "s0", Service: "a"}}})
	g.notify()
	if isNotified(a) || len(g.byService) != 0 {
		t.Errorf("removed watcher: want no notification and no services left, got services %v", g.byService)
	}
}
