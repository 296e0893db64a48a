package lab

import (
	"fmt"
	"time"

	"sloerail/internal/emulator"
)

// crowd is the clients of a zone, before a front that knows the nodes near them.
type crowd struct {
	zone string
	gang *gang // that asks now
	spec emulator.ClientSpec
	near []*node
	turn int
}

// gang is clients that ask at one rate.
type gang struct {
	*crowd
	clients *emulator.Clients
	due     time.Duration // of the event that takes their next tries; 0 for none
}

func (w *World) addClients(i int, z Zone, seed uint64) {
	if z.Nodes == 0 {
		return
	}
	c := &crowd{zone: z.Name, spec: w.Clients(z.Nodes, origin+w.For.Duration)}
	for _, n := range w.nodes {
		if n.zone == z.Name {
			c.near = append(c.near, n)
		}
	}
	w.crowds = append(w.crowds, c)
	w.come(c, 1, seed*1000+uint64(i))
}

// come has the clients of a crowd ask so many times as much from now on.
func (w *World) come(c *crowd, times float64, seed uint64) {
	spec := c.spec
	spec.Rate *= times
	if c.gang != nil {
		c.gang.clients.Stop()
	}
	w.count++
	c.gang = &gang{crowd: c, clients: emulator.NewClients(fmt.Sprintf("%s%x", c.zone, w.count), spec, w.now, seed)}
	w.gangs = append(w.gangs, c.gang)
	w.await(c.gang)
}

// await takes the next tries of clients when they are due.
func (w *World) await(g *gang) {
	at, ok := g.clients.Next()
	if !ok || g.due > 0 && g.due <= at {
		return
	}
	g.due = at
	w.at(at, func() {
		if g.due != at {
			return // one came to be due earlier
		}
		g.due = 0
		for _, t := range g.clients.Take(w.now) {
			w.arrive(g, t)
		}
		w.await(g)
	})
}

// choose takes nodes in turn that the front doesn't know as gone.
func choose(g *gang, nodes []*node) *node {
	for range nodes {
		g.turn++
		if n := nodes[g.turn%len(nodes)]; !n.seen {
			return n
		}
	}
	return nil
}

func (w *World) ended(g *gang, t *emulator.Try, status int, wait time.Duration) {
	before := *g.clients.Sums[t.Class.Name]
	g.clients.Ended(w.now, t, status, wait)
	w.out.Ended(t, before, *g.clients.Sums[t.Class.Name])
	w.await(g)
}

// changeLoad has the clients of a zone, or all, ask several times as much, or as at first.
func (w *World) changeLoad(f Fault, on bool) {
	times := 1.0
	if on {
		times = f.By
	}
	for i, c := range w.crowds {
		if f.Zone == "" || f.Zone == c.zone {
			w.come(c, times, uint64(w.count+i))
		}
	}
}
