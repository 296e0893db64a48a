package registry

// watcherGroup holds the waiting scoped watches by service, so that a change wakes only the watches of the services that
// it affects. The zero value is ready to use. It has no lock: watchableStore guards it.
type watcherGroup struct {
	byService  map[string]map[*watcher]bool
	changed    map[string]bool // services that changed since the last notify
	allChanged bool            // all services count as changed since the last notify
}

// watcher is one waiting watch.
type watcher struct {
	notify   chan struct{} // buffers one value, which stands for all changes until it is received
	services []string
}

func (g *watcherGroup) add(services []string) *watcher {
	if g.byService == nil {
		g.byService, g.changed = make(map[string]map[*watcher]bool), make(map[string]bool)
	}
	w := &watcher{notify: make(chan struct{}, 1), services: services}
	for _, service := range services {
		if g.byService[service] == nil {
			g.byService[service] = make(map[*watcher]bool)
		}
		g.byService[service][w] = true
	}
	return w
}

func (g *watcherGroup) remove(w *watcher) {
	for _, service := range w.services {
		delete(g.byService[service], w)
		if len(g.byService[service]) == 0 {
			delete(g.byService, service)
		}
	}
}

// markChanged marks the services affected by changes. The next notify wakes their watches.
func (g *watcherGroup) markChanged(changes []change) {
	for _, c := range changes {
		for _, service := range c.affectedServices() {
			if g.byService[service] != nil {
				g.changed[service] = true
			}
		}
	}
}

// markAllChanged marks all services. It is called if the affected services aren't known: after the store was replaced, in a
// new epoch, or after more changes than the history holds.
func (g *watcherGroup) markAllChanged() { g.allChanged = true }

// notify wakes the watches of the marked services and clears the marks. It doesn't block.
func (g *watcherGroup) notify() {
	if g.allChanged {
		for service := range g.byService {
			g.changed[service] = true
		}
		g.allChanged = false
	}
	for service := range g.changed {
		for w := range g.byService[service] {
			select {
			case w.notify <- struct{}{}:
			default:
			}
		}
	}
	clear(g.changed)
}
