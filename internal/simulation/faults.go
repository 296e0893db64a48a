package simulation

import "slices"

// beginFault starts a fault and, unless its Length is 0, schedules its end.
func (s *Simulation) beginFault(f Fault) {
	s.outcome.RecordTimeline(s.now, "", f.Describe(true))
	servers := s.affectedServers(f)
	for _, server := range servers {
		s.outcome.Interrupted += len(server.attempts)
	}
	s.applyFault(f, servers, true)
	if f.Length.Duration > 0 {
		s.after(f.Length.Duration, func() {
			s.outcome.RecordTimeline(s.now, "", f.Describe(false))
			s.applyFault(f, servers, false)
		})
	}
}

// affectedServers returns the servers that a fault affects.
func (s *Simulation) affectedServers(f Fault) (servers []*server) {
	for _, spec := range f.Affected(s.ServerSpecs(s.seed)) {
		servers = append(servers, s.serversByID[spec.ID])
	}
	return servers
}

// applyFault starts or ends a fault.
func (s *Simulation) applyFault(f Fault, servers []*server, on bool) {
	switch f.Kind {
	case LoadIncrease:
		s.setLoadFactor(f, on)
	case NodesDown:
		s.setNodesDown(f.Zone, on)
	case Partition:
		s.setPartition(f, on)
	case Unlisted:
		s.setUnlisted(servers, on)
	case Drain:
		s.drain(servers, on)
	case Crash, CrashRestart:
		for _, server := range servers {
			s.setDown(server, on, f.Kind == CrashRestart)
		}
		if f.Kind == CrashRestart && !on {
			s.notifyNodes(servers)
		}
	}
	for _, server := range servers {
		switch f.Kind {
		case ConnectTimeout:
			server.connectTimeout = on
		case ResponseLost:
			server.responseLost = on
		default:
			f.ApplyTo(&server.Fault, on)
		}
	}
}

// setPartition cuts zones off from each other, or reconnects them.
func (s *Simulation) setPartition(f Fault, on bool) {
	if on {
		s.partitions = append(s.partitions, f)
	} else if i := slices.Index(s.partitions, f); i >= 0 {
		s.partitions = slices.Delete(s.partitions, i, i+1)
	}
}
