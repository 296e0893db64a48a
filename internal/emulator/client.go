package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"sloerail/internal/priority"
)

// defaultTimeoutFraction is used if a ClientSpec has no TimeoutFraction.
const defaultTimeoutFraction = 0.55

// ClientSpec specifies how clients behave.
type ClientSpec struct {
	Rate            float64 // mean requests per second
	Classes         []Class
	Tenants         []Tenant
	WorkScale       float64       // multiplies the work of the classes; 0 means 1
	MaxRetries      int           // maximum retries of a request
	RetryDelay      time.Duration // delay before a retry, unless Retry-After is longer
	TimeoutFraction float64       // attempt timeout, relative to the class's deadline; 0 means defaultTimeoutFraction
	Until           Time          // no requests start after this time
}

// ClientAttempt is one HTTP request of a client: the first attempt of a request, or a retry.
type ClientAttempt struct {
	ID      string
	Number  int // 0 for the first
	Class   *Class
	Tenant  string
	Key     string        // idempotency key, the same for retries; empty if there is none
	Work    time.Duration // time of a core of speed 1
	Timeout time.Duration // time from SendAt until the client stops waiting
	SendAt  Time

	request *request
	ended   bool
}

// request is the state that the attempts of a request share.
type request struct {
	startedAt Time
	retries   int
}

// RequestStart returns the time when the first attempt of the request was due.
func (a *ClientAttempt) RequestStart() Time { return a.request.startedAt }

// Before orders attempts by time and then by ID, so that a seed always gives the same order.
func (a *ClientAttempt) Before(other *ClientAttempt) bool {
	if a.SendAt != other.SendAt {
		return a.SendAt < other.SendAt
	}
	return a.ID < other.ID
}

// Clients generates open-loop load: the rate of requests doesn't depend on how long responses take.
type Clients struct {
	Stats map[string]*ClientStats // by class

	spec        ClientSpec
	rng         *rand.Rand
	nextArrival Time
	retries     priority.Queue[*ClientAttempt]
	name        string
	lastID      int
}

// ClientStats counts requests by outcome. A request and its retries count once.
type ClientStats struct {
	Requests   int
	InTime     int // served within the class's latency objective
	Late       int // served after the latency objective
	Failed     int
	Rejections int // attempts with a 429 or 503 response
}

// NewClients returns clients whose requests start after the time from. The attempts' IDs begin with name, which must be
// unique among Clients that are used together.
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

// interArrival draws the time until the next request from an exponential distribution.
func (c *Clients) interArrival() time.Duration {
	return time.Duration(c.rng.ExpFloat64() / c.spec.Rate * float64(time.Second))
}

// Next returns the time when the next attempt is due. ok is false if there is none.
func (c *Clients) Next() (at Time, ok bool) {
	switch {
	case len(c.retries) > 0 && (c.nextArrival > c.spec.Until || c.retries[0].SendAt <= c.nextArrival):
		return c.retries[0].SendAt, true
	case c.nextArrival <= c.spec.Until:
		return c.nextArrival, true
	}
	return 0, false
}

// StopArrivals stops the arrival of new requests. Requests that have started are still retried.
func (c *Clients) StopArrivals() { c.spec.Until = c.nextArrival - 1 }

// TakeDue removes and returns the attempts that are due by now. The caller sends them.
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

// newRequest returns the first attempt of a new request.
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

// timeout returns the timeout of an attempt: TimeoutFraction of the class's deadline, but at most the time until the
// request's deadline.
func (c *Clients) timeout(a *ClientAttempt) time.Duration {
	timeout := time.Duration(c.spec.TimeoutFraction * float64(a.Class.Deadline))
	return min(timeout, a.request.startedAt+a.Class.Deadline-a.SendAt)
}

// weightedChoice draws one of n indices with probabilities in proportion to their weights.
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

// AttemptEnded ends an attempt and schedules its retry, if any. The status is 0 if the attempt timed out or its connection
// was closed without a response; retryAfter is 0 if the response has none. Further calls for the attempt have no effect.
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
	// A non-idempotent request that may have run is not retried.
	retrySafe := rejected || a.Class.RetrySafety != NonIdempotent
	if !retrySafe || a.request.retries >= c.spec.MaxRetries || retryAt >= a.request.startedAt+a.Class.Deadline {
		stats.Failed++
		return
	}
	c.addRetry(a, retryAt)
}

// addRetry schedules a retry of the request that the attempt belongs to.
func (c *Clients) addRetry(attempt *ClientAttempt, at Time) {
	attempt.request.retries++
	retry := *attempt
	retry.SendAt, retry.Number, retry.ended, retry.ID = at, attempt.request.retries, false, c.nextID()
	retry.Timeout = c.timeout(&retry)
	c.retries.Add(&retry)
}
