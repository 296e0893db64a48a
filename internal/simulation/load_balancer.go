package simulation

import (
	"fmt"
	"time"

	"sloerail/internal/emulator"
)

// loadBalancer spreads the clients of a zone over the nodes near them.
type loadBalancer struct {
	zone      string
	generator *generator // of the present rate
	spec      emulator.ClientSpec
	nodes     []*node
	next      int
}

// generator is clients that arrive at one rate.
type generator struct {
	*loadBalancer
	clients *emulator.Clients
	nextDue time.Duration // of the event that takes their next tries; 0 for none
}

func (w *Simulation) addLoadBalancer(i int, z Zone, seed uint64) {
	if z.Nodes == 0 {
		return
	}
	c := &loadBalancer{zone: z.Name, spec: w.Clients(z.Nodes, origin+w.Length.Duration)}
	for _, n := range w.nodes {
		if n.zone == z.Name {
			c.nodes = append(c.nodes, n)
		}
	}
	w.loadBalancers = append(w.loadBalancers, c)
	w.startClients(c, 1, seed*1000+uint64(i))
}

// startClients has the clients of a front ask so many times as much from now on.
func (w *Simulation) startClients(c *loadBalancer, times float64, seed uint64) {
	spec := c.spec
	spec.Rate *= times
	if c.generator != nil {
		c.generator.clients.StopArrivals()
	}
	w.sequence++
	c.generator = &generator{loadBalancer: c, clients: emulator.NewClients(fmt.Sprintf("%s%x", c.zone, w.sequence), spec, w.now, seed)}
	w.generators = append(w.generators, c.generator)
	w.scheduleClients(c.generator)
}

// scheduleClients takes the next tries of clients when they are due.
func (w *Simulation) scheduleClients(g *generator) {
	at, ok := g.clients.Next()
	if !ok || g.nextDue > 0 && g.nextDue <= at {
		return
	}
	g.nextDue = at
	w.at(at, func() {
		if g.nextDue != at {
			return // one came to be due earlier
		}
		g.nextDue = 0
		for _, t := range g.clients.TakeDue(w.now) {
			w.dispatchAttempt(g, t)
		}
		w.scheduleClients(g)
	})
}

// nextNode takes nodes in turn that the front doesn't know as gone.
func nextNode(g *generator, nodes []*node) *node {
	for range nodes {
		g.next++
		if n := nodes[g.next%len(nodes)]; !n.knownDown {
			return n
		}
	}
	return nil
}

func (w *Simulation) endTry(g *generator, t *emulator.ClientAttempt, status int, wait time.Duration) {
	before := *g.clients.Stats[t.Class.Name]
	g.clients.AttemptEnded(w.now, t, status, wait)
	w.outcome.RecordAttemptEnded(t, before, *g.clients.Stats[t.Class.Name])
	w.scheduleClients(g)
}

// setLoadFactor has the clients of a zone, or all, ask several times as much, or as at first.
func (w *Simulation) setLoadFactor(f Fault, on bool) {
	times := 1.0
	if on {
		times = f.Factor
	}
	for i, c := range w.loadBalancers {
		if f.Zone == "" || f.Zone == c.zone {
			w.startClients(c, times, uint64(w.sequence+i))
		}
	}
}
