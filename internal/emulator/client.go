package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"sloerail/internal/priority"
)

// RetrySafety says how often a request of a class may run.
type RetrySafety string

// The words that settings have for it.
const (
	Idempotent       RetrySafety = "free"
	IdempotencyKeyed RetrySafety = "guarded"
	NonIdempotent    RetrySafety = "single_shot"
)

// Class is a class of requests as clients send them.
type Class struct {
	Name                       string
	Share                      float64
	MinWork, MaxWork           time.Duration // of work
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	RetrySafety                RetrySafety
	DedupWindow                time.Duration // for Guarded
}

// Classes are those of the operators' pages.
func Classes() []Class {
	const ms = time.Millisecond
	return []Class{
		{"meter-read", 0.51, 230 * ms, 410 * ms, 1500 * ms, 3000 * ms, 1, Idempotent, 0},
		{"service-order", 0.26, 150 * ms, 270 * ms, 750 * ms, 2500 * ms, 2, IdempotencyKeyed, 12 * time.Second},
		{"bill-charge", 0.23, 340 * ms, 610 * ms, 2500 * ms, 6000 * ms, 5, NonIdempotent, 0},
	}
}

// Tenant is a customer with its share of the traffic.
type Tenant struct {
	Name  string
	Share float64
}

// ClientSpec is how clients come.
type ClientSpec struct {
	Rate    float64 // first tries a second
	Classes []Class
	Tenants []Tenant
	Work    float64       // scale of the work of the classes; 0 counts as 1
	Tries   int           // beyond the first
	Wait    time.Duration // before a further one, where the answer says nothing of that
	Open    float64       // part of the deadline that one try is open
	Until   Time          // no first tries later
}

// Try is one request on the wire.
type Try struct {
	ID       string
	Number   int // 0 for the first
	Class    *Class
	Tenant   string
	Key      string
	Work     time.Duration
	Expires  time.Duration // that this try is open
	At       Time
	request  *request
	answered bool
}

// First is when the request was first asked.
func (t *Try) First() Time { return t.request.first }

type request struct {
	first  Time
	tries  int
	served Time // -1 for not
}

// Clients are open: arrivals don't wait for answers.
type Clients struct {
	spec  ClientSpec
	rng   *rand.Rand
	next  Time
	due   priority.Queue[*Try]
	name  string
	count int
	Sums  map[string]*Sums // by class
}

// Sums count what became of first tries, with their retries folded in.
type Sums struct{ Asked, InTime, Late, Unserved, Refusals int }

// NewClients makes clients that come from a time on. The name begins their ids, so that those of several
// are told apart.
func NewClients(name string, spec ClientSpec, from Time, seed uint64) *Clients {
	c := &Clients{spec: spec, rng: rand.New(rand.NewPCG(seed, 0xc1)), next: from, name: name,
		Sums: make(map[string]*Sums)}
	if c.spec.Work == 0 {
		c.spec.Work = 1
	}
	if c.spec.Open == 0 {
		c.spec.Open = 0.55
	}
	for _, k := range spec.Classes {
		c.Sums[k.Name] = &Sums{}
	}
	c.next += c.interArrival()
	return c
}

func (c *Clients) interArrival() time.Duration {
	return time.Duration(c.rng.ExpFloat64() / c.spec.Rate * float64(time.Second))
}

// Next is when the next try is to be sent; ok is false once there are none.
func (c *Clients) Next() (at Time, ok bool) {
	switch {
	case len(c.due) > 0 && (c.next > c.spec.Until || c.due[0].At <= c.next):
		return c.due[0].At, true
	case c.next <= c.spec.Until:
		return c.next, true
	}
	return 0, false
}

// Stop ends the arrivals; what is under way goes on.
func (c *Clients) Stop() { c.spec.Until = c.next - 1 }

// Take returns the tries that are due by now, for the driver to send.
func (c *Clients) Take(now Time) []*Try {
	var all []*Try
	for at, ok := c.Next(); ok && at <= now; at, ok = c.Next() {
		if len(c.due) > 0 && c.due[0].At == at {
			all = append(all, c.due.Take())
			continue
		}
		all = append(all, c.newTry(at))
		c.next = at + c.interArrival()
	}
	return all
}

// newTry makes the first try of a request.
func (c *Clients) newTry(at Time) *Try {
	k := &c.spec.Classes[weightedChoice(c.rng, len(c.spec.Classes), func(i int) float64 { return c.spec.Classes[i].Share })]
	t := &Try{Class: k, At: at, request: &request{first: at, served: -1}}
	if len(c.spec.Tenants) > 0 {
		t.Tenant = c.spec.Tenants[weightedChoice(c.rng, len(c.spec.Tenants),
			func(i int) float64 { return c.spec.Tenants[i].Share })].Name
	}
	t.Work = time.Duration(c.spec.Work * float64(k.MinWork+time.Duration(c.rng.Int64N(int64(k.MaxWork-k.MinWork)+1))))
	t.ID = c.id()
	if k.RetrySafety == IdempotencyKeyed {
		t.Key = "k-" + t.ID
	}
	t.Expires = c.open(t)
	c.Sums[k.Name].Asked++
	return t
}

func (c *Clients) id() string {
	c.count++
	return fmt.Sprintf("%s-%08x", c.name, c.count)
}

// open is how long a try waits: a part of the deadline, and never beyond the end of it.
func (c *Clients) open(t *Try) time.Duration {
	part := time.Duration(c.spec.Open * float64(t.Class.Deadline))
	return min(part, t.request.first+t.Class.Deadline-t.At)
}

func weightedChoice(rng *rand.Rand, n int, share func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	at := rng.Float64() * sum
	for i := range n - 1 {
		if at -= share(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// Ended tells the clients what became of a try: the status of its answer, or 0 for none before its time was
// up or its connection broke. retryAfter is what the answer said, 0 for nothing. The first word counts.
func (c *Clients) Ended(now Time, t *Try, status int, retryAfter time.Duration) {
	if t.answered {
		return
	}
	t.answered = true
	r, sums := t.request, c.Sums[t.Class.Name]
	switch status {
	case http.StatusOK:
		r.served = now
		if now-r.first <= t.Class.LatencyObjective {
			sums.InTime++
		} else {
			sums.Late++
		}
		return
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		sums.Refusals++
	}
	again := now + max(c.spec.Wait, retryAfter)
	// What may have run and must not run twice is the client's to settle, not to send again.
	harmless := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || t.Class.RetrySafety != NonIdempotent
	if !harmless || r.tries >= c.spec.Tries || again >= r.first+t.Class.Deadline {
		sums.Unserved++
		return
	}
	r.tries++
	next := *t
	next.At, next.Number, next.answered, next.ID = again, r.tries, false, c.id()
	next.Expires = c.open(&next)
	c.due.Add(&next)
}

// Before orders tries by time, and then by their ids, so that a seed gives the same order each time.
func (t *Try) Before(other *Try) bool {
	if t.At != other.At {
		return t.At < other.At
	}
	return t.ID < other.ID
}
