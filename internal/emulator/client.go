package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"sloerail/internal/priority"
)

// defaultTimeoutFraction is the timeout of an attempt where a ClientSpec has none.
const defaultTimeoutFraction = 0.55

// ClientSpec says how clients behave.
type ClientSpec struct {
	Rate            float64 // requests a second, on average
	Classes         []Class
	Tenants         []Tenant
	WorkScale       float64       // multiplies the work of the classes; 0 counts as 1
	MaxRetries      int           // for a request
	RetryDelay      time.Duration // before a retry, unless the response says a longer one
	TimeoutFraction float64       // of the class's deadline: how long an attempt waits; 0 stands for a default
	Until           Time          // requests begin no later
}

// ClientAttempt is one HTTP request of a client: the first for what it asks, or a retry.
type ClientAttempt struct {
	ID      string
	Number  int // 0 for the first
	Class   *Class
	Tenant  string
	Key     string        // the idempotency key, the same for retries; empty for none
	Work    time.Duration // of a core of speed 1
	Timeout time.Duration // the client waits no longer
	SendAt  Time

	request *request
	ended   bool
}

// request is what the first attempt of a request and its retries share.
type request struct {
	startedAt Time
	retries   int
}

// RequestStart is when the first attempt of the request was due.
func (a *ClientAttempt) RequestStart() Time { return a.request.startedAt }

// Before orders attempts by time, and then by their IDs, so that a seed gives the same order each time.
func (a *ClientAttempt) Before(other *ClientAttempt) bool {
	if a.SendAt != other.SendAt {
		return a.SendAt < other.SendAt
	}
	return a.ID < other.ID
}

// Clients generate an open load: requests arrive at their rate, however long responses take.
type Clients struct {
	Stats map[string]*ClientStats // by class

	spec        ClientSpec
	rng         *rand.Rand
	nextArrival Time
	retries     priority.Queue[*ClientAttempt]
	name        string
	lastID      int
}

// ClientStats count requests by how they ended, with their retries counted in.
type ClientStats struct {
	Requests   int
	InTime     int // served within the class's latency objective
	Late       int // served after it
	Failed     int
	Rejections int // attempts that were answered 429 or 503
}

// NewClients makes clients whose requests begin after a time. The name begins their attempts' IDs, so that those of
// several Clients differ.
func NewClients(name string, spec ClientSpec, from Time, seed uint64) *Clients {
	c := &Clients{spec: spec, rng: rand.New(rand.NewPCG(seed, 0xc1)), nextArrival: from, name: name,
		Stats: make(map[string]*ClientStats)}
	if c.spec.WorkScale == 0 {
		c.spec.WorkScale = 1
	}
	if c.spec.TimeoutFraction == 0 {
		c.spec.TimeoutFraction = defaultTimeoutFraction
	}
	for _, class := range spec.Classes {
		c.Stats[class.Name] = &ClientStats{}
	}
	c.nextArrival += c.interArrival()
	return c
}

func (c *Clients) interArrival() time.Duration {
	return time.Duration(c.rng.ExpFloat64() / c.spec.Rate * float64(time.Second))
}

// Next is when the next attempt is due; ok is false while none is.
func (c *Clients) Next() (at Time, ok bool) {
	switch {
	case len(c.retries) > 0 && (c.nextArrival > c.spec.Until || c.retries[0].SendAt <= c.nextArrival):
		return c.retries[0].SendAt, true
	case c.nextArrival <= c.spec.Until:
		return c.nextArrival, true
	}
	return 0, false
}

// StopArrivals ends the arrival of requests; those that have begun go on.
func (c *Clients) StopArrivals() { c.spec.Until = c.nextArrival - 1 }

// TakeDue returns the attempts that are due by now, for the driver to send.
func (c *Clients) TakeDue(now Time) []*ClientAttempt {
	var due []*ClientAttempt
	for at, ok := c.Next(); ok && at <= now; at, ok = c.Next() {
		if len(c.retries) > 0 && c.retries[0].SendAt == at {
			due = append(due, c.retries.Take())
			continue
		}
		due = append(due, c.newRequest(at))
		c.nextArrival = at + c.interArrival()
	}
	return due
}

// newRequest makes the first attempt of a request.
func (c *Clients) newRequest(at Time) *ClientAttempt {
	classes, tenants := c.spec.Classes, c.spec.Tenants
	class := &classes[weightedChoice(c.rng, len(classes), func(i int) float64 { return classes[i].Share })]
	attempt := &ClientAttempt{Class: class, SendAt: at, request: &request{startedAt: at}}
	if len(tenants) > 0 {
		attempt.Tenant = tenants[weightedChoice(c.rng, len(tenants), func(i int) float64 { return tenants[i].Share })].Name
	}
	work := class.MinWork + time.Duration(c.rng.Int64N(int64(class.MaxWork-class.MinWork)+1))
	attempt.Work = time.Duration(c.spec.WorkScale * float64(work))
	attempt.ID = c.nextID()
	if class.RetrySafety == IdempotencyKeyed {
		attempt.Key = "k-" + attempt.ID
	}
	attempt.Timeout = c.timeout(attempt)
	c.Stats[class.Name].Requests++
	return attempt
}

func (c *Clients) nextID() string {
	c.lastID++
	return fmt.Sprintf("%s-%08x", c.name, c.lastID)
}

// timeout is how long an attempt waits: a fraction of its class's deadline, and never beyond the deadline.
func (c *Clients) timeout(a *ClientAttempt) time.Duration {
	timeout := time.Duration(c.spec.TimeoutFraction * float64(a.Class.Deadline))
	return min(timeout, a.request.startedAt+a.Class.Deadline-a.SendAt)
}

// weightedChoice draws one of n indices, each with a chance in proportion to its weight.
func weightedChoice(rng *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	point := rng.Float64() * sum
	for i := range n - 1 {
		if point -= weight(i); point < 0 {
			return i
		}
	}
	return n - 1
}

// AttemptEnded takes the response to an attempt: its status, or 0 for none before its timeout or the end of its
// connection, and its Retry-After, or 0 for none. Further calls for the same attempt have no effect.
func (c *Clients) AttemptEnded(now Time, a *ClientAttempt, status int, retryAfter time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	stats := c.Stats[a.Class.Name]
	rejected := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	switch {
	case status == http.StatusOK && now-a.request.startedAt <= a.Class.LatencyObjective:
		stats.InTime++
		return
	case status == http.StatusOK:
		stats.Late++
		return
	case rejected:
		stats.Rejections++
	}
	retryAt := now + max(c.spec.RetryDelay, retryAfter)
	// What may have run and must not run twice isn't sent again.
	safe := rejected || a.Class.RetrySafety != NonIdempotent
	if !safe || a.request.retries >= c.spec.MaxRetries || retryAt >= a.request.startedAt+a.Class.Deadline {
		stats.Failed++
		return
	}
	c.addRetry(a, retryAt)
}

func (c *Clients) addRetry(of *ClientAttempt, at Time) {
	of.request.retries++
	retry := *of
	retry.SendAt, retry.Number, retry.ended, retry.ID = at, of.request.retries, false, c.nextID()
	retry.Timeout = c.timeout(&retry)
	c.retries.Add(&retry)
}
