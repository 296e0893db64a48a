package rig

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/lab"
)

// drainsFor is how long a box that drains stays in the list.
const drainsFor = 5 * time.Second

// scene is a scenario under way, with real nodes.
type scene struct {
	lab.Scenario
	w     *World
	fleet *Fleet
	boxes []emulator.BoxSpec
	loads map[string][]*Load // by zone
	near  map[string][]*Node
	from  emulator.Time
}

// PlayScenario plays a scenario of the lab with real nodes in real time, and returns what came of it. Its zones have
// to hold equally many nodes.
func (r *Rig) PlayScenario(ctx context.Context, s lab.Scenario, seed uint64) (*lab.Outcome, error) {
	p := &scene{Scenario: s, boxes: s.Specs(seed), loads: make(map[string][]*Load), near: make(map[string][]*Node)}
	p.w = r.NewWorld(seed, p.boxes...)
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	p.w.Look(func() {
		p.from = p.w.now()
		p.w.book = lab.NewOutcome(s, p.boxes, emulator.Classes(), p.from)
	})
	began := time.Now()
	for _, z := range s.Zones {
		p.come(z.Name, 1, s.For.Duration)
	}
	if err := p.play(ctx, began); err != nil {
		return nil, err
	}
	for _, loads := range p.loads {
		for _, l := range loads {
			if err := l.Wait(ctx); err != nil {
				return nil, err
			}
		}
	}
	return p.end(began), nil
}

func (p *scene) start(ctx context.Context) error {
	spec := FleetSpec{Classes: emulator.Classes(), Tenants: p.Tenants(), EaseLists: true}
	regions, only := make(map[string][]string), make(map[string][]string)
	for _, z := range p.Zones {
		if z.Nodes != p.Zones[0].Nodes {
			return fmt.Errorf("scenario %q: zones[%s].nodes: want as many in each zone", p.Name, z.Name)
		}
		spec.Nodes += z.Nodes
		spec.Zones = append(spec.Zones, z.Name)
		regions[z.Region] = append(regions[z.Region], z.Name)
	}
	for _, b := range p.Bound {
		only[b.Class] = b.Regions
	}
	spec.Quota = p.QuotaOver(spec.Nodes)
	if p.Places {
		spec.Places = map[string]any{"regions": regions, "only": only}
	}
	var err error
	if p.fleet, err = p.w.NewFleet(spec); err != nil {
		return err
	}
	for i, name := range p.fleet.Names {
		zone := p.Zones[i%len(p.Zones)].Name
		p.near[zone] = append(p.near[zone], p.fleet.Nodes[name])
	}
	if err := p.fleet.Start(ctx, p.fleet.Names...); err != nil {
		return err
	}
	_, err = p.fleet.AwaitAgree(ctx, p.fleet.Names...)
	return err
}

// come has clients near a zone ask so many times as much, for a time.
func (p *scene) come(zone string, times float64, until time.Duration) {
	spec := p.Clients(len(p.near[zone]), until)
	spec.Rate *= times
	p.loads[zone] = append(p.loads[zone], p.w.Clients(fmt.Sprintf("%s%d", zone, len(p.loads[zone])), spec, p.near[zone]...))
}

// play carries out the faults in order, and returns when the clients' time is over.
func (p *scene) play(ctx context.Context, began time.Time) error {
	type turn struct {
		at time.Duration
		f  lab.Fault
		on bool
	}
	var todo []turn
	for _, f := range p.Faults {
		for _, at := range f.Begins() {
			if todo = append(todo, turn{at, f, true}); f.For.Duration > 0 {
				todo = append(todo, turn{at + f.For.Duration, f, false})
			}
		}
	}
	failed := make(chan error, len(todo))
	for _, t := range todo {
		go func() {
			if err := wait(ctx, time.Until(began.Add(t.at))); err != nil {
				failed <- err
				return
			}
			failed <- p.strike(ctx, t.f, t.on)
		}()
	}
	var first error
	for range todo {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	if first != nil {
		return first
	}
	return wait(ctx, time.Until(began.Add(p.For.Duration)))
}

// strike begins a fault, or ends it.
func (p *scene) strike(ctx context.Context, f lab.Fault, on bool) error {
	struck := f.Struck(p.boxes)
	p.mark(f, struck, on)
	hit := func(_ string, b emulator.BoxSpec) bool { return slices.Contains(struck, b) }
	switch f.Do {
	case lab.Lost, lab.Cold:
		p.paths(hit, Faults{Reset: on}, Faults{Reset: on})
		if f.Do == lab.Cold && !on {
			p.restart(struck)
		}
	case lab.Silent:
		p.paths(hit, Faults{Cut: on}, Faults{Cut: on})
	case lab.Mute:
		p.paths(hit, Faults{}, Faults{Cut: on})
	case lab.Apart:
		parted := func(zone string, b emulator.BoxSpec) bool { return f.Parts(zone, b.Zone) }
		p.paths(parted, Faults{Cut: on}, Faults{Cut: on})
	case lab.Vanish:
		p.w.relist(struck, map[bool]string{true: emulator.Removed, false: emulator.Up}[on])
	case lab.Drain:
		return p.drain(ctx, struck, on)
	case lab.Nodes:
		return p.nodes(ctx, f.Zone, on)
	case lab.Load:
		if on {
			p.addLoad(f)
		}
	}
	return nil
}

// mark books that a fault begins or ends, and makes the boxes that it strikes fail or slow.
func (p *scene) mark(f lab.Fault, struck []emulator.BoxSpec, on bool) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.book.Mark(p.w.now(), "", f.Says(on))
	for _, spec := range struck {
		b := p.w.boxes[spec.ID]
		if on {
			p.w.book.Struck += len(b.waits)
		}
		f.Hurt(&b.Fault, on)
	}
}

// addLoad has clients come beside those that ask anyway.
func (p *scene) addLoad(f lab.Fault) {
	for _, z := range p.Zones {
		if f.Zone == "" || f.Zone == z.Name {
			p.come(z.Name, f.By-1, f.For.Duration)
		}
	}
}

// paths sets what is wrong there and back between the nodes of zones and the boxes that are hit.
func (p *scene) paths(hit func(zone string, b emulator.BoxSpec) bool, there, back Faults) {
	for zone, nodes := range p.near {
		for _, n := range nodes {
			for _, b := range p.boxes {
				if hit(zone, b) {
					p.w.rig.SetLink(n.Spec.Name, b.ID, there)
					p.w.rig.SetLink(b.ID, n.Spec.Name, back)
				}
			}
		}
	}
}

// restart has new, cold processes in the place of boxes, and the list say so.
func (p *scene) restart(boxes []emulator.BoxSpec) {
	p.w.Look(func() {
		for _, spec := range boxes {
			b := p.w.boxes[spec.ID]
			b.Box = emulator.NewBox(spec, p.w.now(), p.w.seed+uint64(len(spec.ID)))
		}
	})
	p.w.relist(boxes, emulator.Up)
}

func (p *scene) drain(ctx context.Context, boxes []emulator.BoxSpec, on bool) error {
	if !on {
		p.restart(boxes)
		return nil
	}
	p.w.relist(boxes, emulator.Draining)
	if err := wait(ctx, drainsFor); err != nil {
		return err
	}
	p.w.relist(boxes, emulator.Removed)
	return nil
}

// nodes kills the nodes of a zone, or starts them again.
func (p *scene) nodes(ctx context.Context, zone string, on bool) error {
	var names []string
	for _, n := range p.near[zone] {
		if names = append(names, n.Spec.Name); on {
			n.Kill()
		}
	}
	if on {
		return nil
	}
	return p.fleet.Start(ctx, names...)
}

// said is a line of a node's log on a place.
var said = regexp.MustCompile(`^time=(\S+) .*msg="(place [^"]*)"`)

// end reads what the nodes said of places, and what rules were broken.
func (p *scene) end(began time.Time) *lab.Outcome {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	o := p.w.book
	p.w.book = nil
	for _, name := range p.fleet.Names {
		for _, proc := range p.fleet.Nodes[name].Processes() {
			for line := range strings.Lines(proc.Log()) {
				m := said.FindStringSubmatch(line)
				if m == nil {
					continue
				}
				if at, err := time.Parse(time.RFC3339, m[1]); err == nil {
					o.Mark(p.from+at.Sub(began), name, m[2])
				}
			}
		}
	}
	broken, n := p.w.Judge.Breaches()
	o.Broken, o.BrokenRules = n, append([]string{}, broken...)
	return o
}
