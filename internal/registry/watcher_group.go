package registry

// watcherGroup are the scoped watches that wait, by the services that they name: a change wakes only those whose
// services it touches. The zero value is ready; a lock of the owner guards it.
type watcherGroup struct {
	byService map[string]map[*watcher]bool
	touched   map[string]bool // services that changed since the last wake
	all       bool            // all of them have
}

// watcher is one watch that waits.
type watcher struct {
	news     chan struct{} // holds one value: further changes before it is read are told by the same
	services []string
}

func (s *watcherGroup) add(services []string) *watcher {
	if s.byService == nil {
		s.byService, s.touched = make(map[string]map[*watcher]bool), make(map[string]bool)
	}
	sub := &watcher{news: make(chan struct{}, 1), services: services}
	for _, service := range services {
		if s.byService[service] == nil {
			s.byService[service] = make(map[*watcher]bool)
		}
		s.byService[service][sub] = true
	}
	return sub
}

func (s *watcherGroup) remove(sub *watcher) {
	for _, service := range sub.services {
		delete(s.byService[service], sub)
		if len(s.byService[service]) == 0 {
			delete(s.byService, service)
		}
	}
}

// touch notes the services of changes for the next wake.
func (s *watcherGroup) touch(changes []change) {
	for _, c := range changes {
		for _, service := range c.touchedServices() {
			if s.byService[service] != nil {
				s.touched[service] = true
			}
		}
	}
}

// touchAll notes that the state is another as a whole.
func (s *watcherGroup) touchAll() { s.all = true }

// wake tells those whose services changed.
func (s *watcherGroup) wake() {
	if s.all {
		for service := range s.byService {
			s.touched[service] = true
		}
		s.all = false
	}
	for service := range s.touched {
		for sub := range s.byService[service] {
			select {
			case sub.news <- struct{}{}:
			default:
			}
		}
	}
	clear(s.touched)
}
