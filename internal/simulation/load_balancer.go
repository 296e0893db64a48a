package simulation

import (
	"fmt"
	"time"

	"sloerail/internal/emulator"
)

// loadBalancer spreads the requests of a zone's clients over the nodes of that zone.
type loadBalancer struct {
	zone      string
	generator *generator // generates requests at the current rate
	spec      emulator.ClientSpec
	nodes     []*node
	nextNode  int
}

// generator sends the requests of clients at a constant mean rate. A change of the rate replaces the generator: the old
// one starts no more requests, but still sends retries.
type generator struct {
	*loadBalancer
	clients *emulator.Clients
	nextDue time.Duration // time of the event that sends the next attempts; 0 if none is scheduled
}

// addLoadBalancer adds the load balancer of a zone, and starts its clients at the scenario's rate. A zone without nodes
// gets no load balancer.
func (s *Simulation) addLoadBalancer(i int, z Zone, seed uint64) {
	if z.Nodes == 0 {
		return
	}
	lb := &loadBalancer{zone: z.Name, spec: s.Clients(z.Nodes, origin+s.Length.Duration)}
	for _, n := range s.nodes {
		if n.zone == z.Name {
			lb.nodes = append(lb.nodes, n)
		}
	}
	s.loadBalancers = append(s.loadBalancers, lb)
	s.startClients(lb, 1, seed*1000+uint64(i))
}

// startClients replaces the clients of a load balancer by clients that send at rateFactor times the scenario's rate.
func (s *Simulation) startClients(lb *loadBalancer, rateFactor float64, seed uint64) {
	spec := lb.spec
	spec.Rate *= rateFactor
	if lb.generator != nil {
		lb.generator.clients.StopArrivals()
	}
	s.sequence++
	name := fmt.Sprintf("%s%x", lb.zone, s.sequence)
	lb.generator = &generator{loadBalancer: lb, clients: emulator.NewClients(name, spec, s.now, seed)}
	s.generators = append(s.generators, lb.generator)
	s.scheduleClients(lb.generator)
}

// scheduleClients schedules the event that sends the next attempts.
func (s *Simulation) scheduleClients(g *generator) {
	at, ok := g.clients.Next()
	if !ok || g.nextDue > 0 && g.nextDue <= at {
		return
	}
	g.nextDue = at
	s.at(at, func() {
		if g.nextDue != at {
			return // an earlier event has replaced this one
		}
		g.nextDue = 0
		for _, attempt := range g.clients.TakeDue(s.now) {
			s.dispatchAttempt(g, attempt)
		}
		s.scheduleClients(g)
	})
}

// pickNode picks a node by round robin and skips nodes that are known to be down. It returns nil if all of them are.
func (lb *loadBalancer) pickNode(nodes []*node) *node {
	for range nodes {
		lb.nextNode++
		if n := nodes[lb.nextNode%len(nodes)]; !n.knownDown {
			return n
		}
	}
	return nil
}

// endClientAttempt tells the clients the status of the response to an attempt, or 0 if there is no response.
func (s *Simulation) endClientAttempt(g *generator, attempt *emulator.ClientAttempt, status int, retryAfter time.Duration) {
	stats := g.clients.Stats[attempt.Class.Name]
	before := *stats
	g.clients.AttemptEnded(s.now, attempt, status, retryAfter)
	s.outcome.RecordClientAttemptEnded(attempt, before, *stats)
	s.scheduleClients(g)
}

// setLoadFactor sets the rate of the clients that a LoadIncrease affects to the scenario's rate times the fault's factor.
// If on is false, it sets the scenario's rate.
func (s *Simulation) setLoadFactor(f Fault, on bool) {
	rateFactor := 1.0
	if on {
		rateFactor = f.Factor
	}
	for i, lb := range s.loadBalancers {
		if f.Zone == "" || f.Zone == lb.zone {
			s.startClients(lb, rateFactor, uint64(s.sequence+i))
		}
	}
}
