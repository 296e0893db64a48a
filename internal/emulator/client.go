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
	Rate            float64 // first tries a second
	Classes         []Class
	Tenants         []Tenant
	WorkScale       float64       // scale of the work of the classes; 0 counts as 1
	MaxRetries      int           // beyond the first
	RetryDelay      time.Duration // before a further one, where the answer says nothing of that
	TimeoutFraction float64       // part of the deadline that one try is open
	Until           Time          // no first tries later
}

// ClientAttempt is one request on the wire.
type ClientAttempt struct {
	ID       string
	Number   int // 0 for the first
	Class    *Class
	Tenant   string
	Key      string
	Work     time.Duration
	Timeout  time.Duration // that this try is open
	SendAt   Time
	request  *request
	answered bool
}

// RequestStart is when the request was first asked.
func (t *ClientAttempt) RequestStart() Time { return t.request.startedAt }

type request struct {
	startedAt Time
	retries   int
	servedAt  Time // -1 for not
}

// Clients are open: arrivals don't wait for answers.
type Clients struct {
	spec        ClientSpec
	rng         *rand.Rand
	nextArrival Time
	retries     priority.Queue[*ClientAttempt]
	name        string
	lastID      int
	Stats       map[string]*ClientStats // by class
}

// ClientStats count what became of first tries, with their retries folded in.
type ClientStats struct{ Requests, InTime, Late, Failed, Rejections int }

// NewClients makes clients that come from a time on. The name begins their ids, so that those of several
// are told apart.
func NewClients(name string, spec ClientSpec, from Time, seed uint64) *Clients {
	c := &Clients{spec: spec, rng: rand.New(rand.NewPCG(seed, 0xc1)), nextArrival: from, name: name,
		Stats: make(map[string]*ClientStats)}
	if c.spec.WorkScale == 0 {
		c.spec.WorkScale = 1
	}
	if c.spec.TimeoutFraction == 0 {
		c.spec.TimeoutFraction = 0.55
	}
	for _, k := range spec.Classes {
		c.Stats[k.Name] = &ClientStats{}
	}
	c.nextArrival += c.interArrival()
	return c
}

func (c *Clients) interArrival() time.Duration {
	return time.Duration(c.rng.ExpFloat64() / c.spec.Rate * float64(time.Second))
}

// Next is when the next try is to be sent; ok is false once there are none.
func (c *Clients) Next() (at Time, ok bool) {
	switch {
	case len(c.retries) > 0 && (c.nextArrival > c.spec.Until || c.retries[0].SendAt <= c.nextArrival):
		return c.retries[0].SendAt, true
	case c.nextArrival <= c.spec.Until:
		return c.nextArrival, true
	}
	return 0, false
}

// StopArrivals ends the arrivals; what is under way goes on.
func (c *Clients) StopArrivals() { c.spec.Until = c.nextArrival - 1 }

// TakeDue returns the tries that are due by now, for the driver to send.
func (c *Clients) TakeDue(now Time) []*ClientAttempt {
	var all []*ClientAttempt
	for at, ok := c.Next(); ok && at <= now; at, ok = c.Next() {
		if len(c.retries) > 0 && c.retries[0].SendAt == at {
			all = append(all, c.retries.Take())
			continue
		}
		all = append(all, c.newTry(at))
		c.nextArrival = at + c.interArrival()
	}
	return all
}

// newTry makes the first try of a request.
func (c *Clients) newTry(at Time) *ClientAttempt {
	k := &c.spec.Classes[weightedChoice(c.rng, len(c.spec.Classes), func(i int) float64 { return c.spec.Classes[i].Share })]
	t := &ClientAttempt{Class: k, SendAt: at, request: &request{startedAt: at, servedAt: -1}}
	if len(c.spec.Tenants) > 0 {
		t.Tenant = c.spec.Tenants[weightedChoice(c.rng, len(c.spec.Tenants),
			func(i int) float64 { return c.spec.Tenants[i].Share })].Name
	}
	t.Work = time.Duration(c.spec.WorkScale * float64(k.MinWork+time.Duration(c.rng.Int64N(int64(k.MaxWork-k.MinWork)+1))))
	t.ID = c.nextID()
	if k.RetrySafety == IdempotencyKeyed {
		t.Key = "k-" + t.ID
	}
	t.Timeout = c.timeout(t)
	c.Stats[k.Name].Requests++
	return t
}

func (c *Clients) nextID() string {
	c.lastID++
	return fmt.Sprintf("%s-%08x", c.name, c.lastID)
}

// timeout is how long a try waits: a part of the deadline, and never beyond the end of it.
func (c *Clients) timeout(t *ClientAttempt) time.Duration {
	part := time.Duration(c.spec.TimeoutFraction * float64(t.Class.Deadline))
	return min(part, t.request.startedAt+t.Class.Deadline-t.SendAt)
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

// AttemptEnded tells the clients what became of a try: the status of its answer, or 0 for none before its time was
// up or its connection broke. retryAfter is what the answer said, 0 for nothing. The first word counts.
func (c *Clients) AttemptEnded(now Time, t *ClientAttempt, status int, retryAfter time.Duration) {
	if t.answered {
		return
	}
	t.answered = true
	r, sums := t.request, c.Stats[t.Class.Name]
	switch status {
	case http.StatusOK:
		r.servedAt = now
		if now-r.startedAt <= t.Class.LatencyObjective {
			sums.InTime++
		} else {
			sums.Late++
		}
		return
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		sums.Rejections++
	}
	again := now + max(c.spec.RetryDelay, retryAfter)
	// What may have run and must not run twice is the client's to settle, not to send again.
	harmless := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || t.Class.RetrySafety != NonIdempotent
	if !harmless || r.retries >= c.spec.MaxRetries || again >= r.startedAt+t.Class.Deadline {
		sums.Failed++
		return
	}
	r.retries++
	next := *t
	next.SendAt, next.Number, next.answered, next.ID = again, r.retries, false, c.nextID()
	next.Timeout = c.timeout(&next)
	c.retries.Add(&next)
}

// Before orders tries by time, and then by their ids, so that a seed gives the same order each time.
func (t *ClientAttempt) Before(other *ClientAttempt) bool {
	if t.SendAt != other.SendAt {
		return t.SendAt < other.SendAt
	}
	return t.ID < other.ID
}
