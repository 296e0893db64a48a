package node

import (
	"container/heap"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

const (
	// eventBuffer lets handlers and attempts hand in an event while the loop is busy with others.
	eventBuffer = 1024
	// timeOrigin is what the clock shows at the start. Servers that started before the node did have
	// a time above 0 all the same: 0 means long ago, and would count a cold server as warm.
	timeOrigin = 24 * time.Hour
	// answerMargin is how long before the client stops waiting the module's time is up, so that its
	// answer still arrives; half of it later the backstop answers. Of short deadlines it is a part.
	answerMargin     = 20 * time.Millisecond
	answerMarginPart = 5
	longestUpload    = 15 * time.Minute // the least pace borne ends it far sooner
	reportFresh      = time.Second      // after the first byte, a report in an answer is old news
	sweepEvery       = time.Second      // idle connections to servers
)

// clock turns the machine's clocks into policy.Time. The wall clock is read once, at the start.
type clock struct{ start time.Time }

func (c clock) now() policy.Time { return timeOrigin + time.Since(c.start) }

func (c clock) at(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// unix converts a server's start from Unix milliseconds; 0 stays 0, and so does what lies before the
// origin, which is just as long ago.
func (c clock) unix(ms int64) policy.Time {
	if ms == 0 {
		return 0
	}
	most := timeOrigin.Milliseconds() // nor may a start far ahead overflow
	ago := min(max(c.start.UnixMilli()-ms, -most), most)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}

// module is the policy.Balancer.
type module interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
	Servers() (listed, avoided int)
	TailLatency() time.Duration
	Snapshot(now policy.Time) policy.Snapshot
	Restore(now policy.Time, k policy.Snapshot)
	InFlight() map[string]int
	SetSiblingInFlight(out map[string]int)
	FleetSize() (agreed, heard int, cutOff bool)
	Zones(now policy.Time) []policy.ZoneState
}

// loop owns the module, the open requests and the timers, in one goroutine. All else sends it events;
// it waits for nothing but the next of them.
type loop struct {
	clock   clock
	module  module
	allowed policy.Allowed
	target  discovery.Target // discovery as last configured
	terms   atomic.Pointer[terms]
	maxOpen int
	up      *upstream.Transport
	fig     *figures
	disc    *discovery.Client

	events   chan any
	done     chan struct{} // closed when the loop has ended
	ready    chan struct{} // closed when the known list is in
	requests map[string]*request
	owed     int  // requests without their answer
	finished bool // there is no time left for any
	timers   timers
	members  map[string]discovery.Endpoint // the list as last told
	skipped  []policy.Outcome              // of attempts that were not made; told once all actions are done
	attempts sync.WaitGroup
}

// request is kept until it is answered and all its attempts are over.
type request struct {
	*downstream.Exchange
	deadline policy.Time
	backstop *timer
	ended    bool
	attempts []attempt
	pending  int
}

type attempt struct {
	server string
	sent   policy.Time // or when the request was whole, if that was later
	began  policy.Time // when its answer began, of one that is passed on as it comes
	flight *upstream.Lifetime
}

// The events of the loop, beside news.
type (
	arrival   struct{ x *downstream.Exchange }
	departure struct{ x *downstream.Exchange }
	ending    struct { // of an attempt
		r *request
		n int
		upstream.Result
	}
	ceded     struct{ reply chan<- inheritance } // another process takes over
	takenBack struct{ served bool }              // and is gone again
	tailAsked struct{ reply chan<- time.Duration }
	outAsked  struct{ reply chan<- map[string]int } // this process's attempts, by server
	outBeside struct{ out map[string]int }          // and the other's
	begun     struct {                              // an answer that is passed on as it comes
		r *request
		n int
		downstream.Response
	}
	uploaded struct { // the rest of a request: whole, or why its connection waits for an answer to end by
		x   *downstream.Exchange
		err error
	}
	finish struct{} // fail what is still open and refuse what comes, for the node stops
)

func newLoop(c Config, ck clock, up *upstream.Transport, fig *figures) (*loop, error) {
	balancer, err := policy.New(c.Settings, ck.now(), c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{clock: ck, module: balancer, allowed: c.Settings.Allowed, maxOpen: c.MaxOpen, up: up, fig: fig,
		events: make(chan any, eventBuffer), done: make(chan struct{}), ready: make(chan struct{}),
		requests: make(map[string]*request), members: make(map[string]discovery.Endpoint)}
	l.target = c.discoveryTarget()
	l.terms.Store(newTerms(c.Settings.Classes))
	l.disc = discovery.NewClient(c.discoveryConfig(), func(u discovery.Update) { l.send(u) })
	return l, nil
}

// ask has the loop answer an event that is made for the reply; not ok once it has ended.
func ask[T any](l *loop, event func(reply chan<- T) any) (v T, ok bool) {
	reply := make(chan T, 1)
	l.send(event(reply))
	select {
	case v = <-reply:
		return v, true
	case <-l.done:
		return v, false
	}
}

// out is this process's attempts, by server; nil once the loop has ended.
func (l *loop) out() map[string]int {
	out, _ := ask(l, func(reply chan<- map[string]int) any { return outAsked{reply} })
	return out
}

// send hands the loop an event. After the loop's end there is nobody to tell.
func (l *loop) send(ev any) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// run handles events until ctx ends; then it calls off what is out and waits for it. The list as last
// held comes before all else, as the module expects, and then what another process left.
func (l *loop) run(ctx context.Context, known []discovery.Endpoint, left *inheritance) {
	defer l.attempts.Wait()
	defer l.callOff()
	defer close(l.done)
	l.handle(discovery.Update{Kind: policy.ListCached, Endpoints: known})
	if left != nil {
		l.module.Restore(l.clock.now(), left.Knowledge)
		l.module.SetSiblingInFlight(left.Out)
	}
	close(l.ready)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	armed := policy.Time(0) // what wake is set to
	for {
		if len(l.timers) > 0 && l.timers[0].due != armed {
			armed = l.timers[0].due
			wake.Reset(armed - l.clock.now())
		}
		select {
		case ev := <-l.events:
			l.handle(ev)
			l.handleMore()
		case <-wake.C:
			armed = 0
		case now := <-sweep.C:
			l.up.CloseExpired(now)
			l.showPlaces(l.clock.now())
		case <-ctx.Done():
			return
		}
		l.fire()
	}
}

// eventsAtOnce are handled before timers and all else get their turn.
const eventsAtOnce = 64

// handleMore handles what else has come already: to wait for several things at once costs more.
func (l *loop) handleMore() {
	for range eventsAtOnce {
		select {
		case ev := <-l.events:
			l.handle(ev)
		default:
			return
		}
	}
}

// fire handles the timers that are due.
func (l *loop) fire() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(*timer)
		if r := t.backstop; r == nil {
			l.tell(policy.Timer{Token: t.token})
		} else {
			l.fail(r, http.StatusGatewayTimeout) // the module has said nothing
		}
	}
}

func (l *loop) handle(ev any) {
	switch e := ev.(type) {
	case arrival:
		l.arrive(e.x)
	case departure:
		// Another request may bear the id by now.
		if r := l.requests[e.x.Request.ID]; r != nil && r.Exchange == e.x {
			l.leave(r)
		}
	case begun:
		l.begin(e)
	case uploaded:
		if r := l.requests[e.x.Request.ID]; r != nil && r.Exchange == e.x && !r.ended {
			l.whole(r, e.err)
		}
	case ending:
		l.end(e)
	case discovery.Update:
		l.listed(e)
	case retuned:
		l.retune(e.Config)
	case ceded:
		left := inheritance{Knowledge: l.module.Snapshot(l.clock.now()), Out: l.module.InFlight()}
		left.setEndpoints(maps.Values(l.members))
		e.reply <- left
		l.tell(policy.HandedOver{Active: true})
	case outAsked:
		e.reply <- l.module.InFlight()
	case outBeside:
		l.module.SetSiblingInFlight(e.out)
	case fleetSeen:
		l.tell(policy.FleetSize{ReachableNodes: e.heard, ReachableInZone: e.near})
	case fleetAsked:
		var f fleetState
		f.agreed, f.heard, f.cutOff = l.module.FleetSize()
		e.reply <- f
	case placesAsked:
		e.reply <- l.module.Zones(l.clock.now())
	case tailAsked:
		e.reply <- l.module.TailLatency()
	case takenBack:
		l.tell(policy.HandedOver{SuccessorServed: e.served})
	case finish:
		l.finished = true
		for _, r := range l.requests {
			if !r.ended {
				l.fail(r, http.StatusBadGateway)
			}
		}
	}
}

func (l *loop) arrive(x *downstream.Exchange) {
	if x.Disconnected() { // while it waited for the loop
		return
	}
	if l.requests[x.Request.ID] != nil { // the module would wait for the first, and never answer this one
		x.Reply <- downstream.Response{Status: http.StatusConflict}
		return
	}
	if l.finished || l.maxOpen > 0 && l.owed >= l.maxOpen {
		x.Reply <- downstream.Response{Status: http.StatusServiceUnavailable}
		return
	}
	r := &request{Exchange: x}
	l.requests[x.Request.ID] = r
	l.owed++
	r.backstop = &timer{backstop: r}
	req := x.Request
	req.FormerClass = req.FormerClass || x.Terms != l.terms.Load() // changed while it came in
	if req.Incomplete {
		r.timeFrom(l.clock.now() + longestUpload)
		req.Timeout = x.Timeout - r.margin()
	} else {
		r.timeFrom(x.ReceivedAt)
		req.Timeout = max(0, r.deadline-l.clock.now())
	}
	heap.Push(&l.timers, r.backstop)
	l.tell(req)
}

func (r *request) margin() time.Duration { return min(answerMargin, r.Timeout/answerMarginPart) }

// timeFrom sets the deadlines of a request by when its last byte came.
func (r *request) timeFrom(came policy.Time) {
	end := came + r.Timeout
	r.deadline, r.backstop.due = end-r.margin(), end-r.margin()/2
}

// whole starts the time of a request that was sent on while it came in, or ends one that broke off.
func (l *loop) whole(r *request, err error) {
	if err != nil {
		status, _ := downstream.BodyErrorStatus(err)
		l.fail(r, status)
		return
	}
	now := l.clock.now()
	r.timeFrom(now)
	heap.Fix(&l.timers, r.backstop.at)
	r.attempts[len(r.attempts)-1].sent = now
	l.tell(policy.RequestComplete{ID: r.Request.ID})
}

// leave ends a request whose client has gone.
func (l *loop) leave(r *request) {
	if r.ended { // its answer has begun, and nobody takes it
		r.callOff()
		return
	}
	l.settle(r)
	l.tell(policy.ClientCancelled{ID: r.Request.ID})
	l.drop(r)
}

// callOff ends what is out for r.
func (r *request) callOff() {
	for _, a := range r.attempts {
		a.flight.Cancel()
	}
}

// callOff ends all that is out.
func (l *loop) callOff() {
	for _, r := range l.requests {
		r.callOff()
	}
}

// begin gives the client an answer that is still coming. No deadline ends that from now on.
func (l *loop) begin(e begun) {
	a := &e.r.attempts[e.n]
	if e.r.ended {
		a.flight.Cancel()
		return
	}
	a.flight.SetDeadline(time.Time{})
	a.began = l.clock.now()
	l.answer(e.r, e.Response)
	l.tell(policy.FirstByte{ID: e.r.Request.ID, Server: a.server, Attempt: e.n, Latency: a.began - a.sent})
}

func (l *loop) end(e ending) {
	a := &e.r.attempts[e.n]
	e.r.pending--
	over := l.clock.now()
	if a.began > 0 { // how long the client took to read it says nothing of the server
		if over-a.began > reportFresh {
			e.LoadReport = nil
		}
		over = a.began
	}
	if e.Code == policy.OK && !e.r.ended {
		l.answer(e.r, forwardedResponse(e.Response))
	}
	l.tell(policy.Outcome{ID: e.r.Request.ID, Server: a.server, Attempt: e.n, Code: e.Code,
		Latency: over - a.sent, RequestEnded: e.r.ended, BodyConsumed: e.r.spent(), LoadReport: e.LoadReport})
	l.drop(e.r)
}

func (l *loop) listed(n discovery.Update) {
	if n.Kind != policy.ListUnavailable {
		l.up.UpdateEndpoints(n)
	}
	if n.Kind == policy.ListReplace || n.Kind == policy.ListCached {
		clear(l.members)
	}
	for _, m := range n.Endpoints {
		if l.members[m.ID] = m; m.Availability == policy.Removed {
			delete(l.members, m.ID)
		}
	}
	members := make([]policy.Endpoint, len(n.Endpoints))
	for i, m := range n.Endpoints {
		members[i] = m.Endpoint
		members[i].StartedAt = l.clock.unix(m.StartedAtMillis)
	}
	l.tell(policy.EndpointList{Kind: n.Kind, Endpoints: members})
}

// spent tells whether a request can't be written again.
func (r *request) spent() bool { return r.BodyConsumed() }

// tell gives the module an event and carries out what it wants done, in order.
func (l *loop) tell(ev policy.Event) {
	for {
		for _, a := range l.module.Handle(l.clock.now(), ev) {
			l.carryOut(a)
		}
		if len(l.skipped) == 0 {
			break
		}
		o := l.skipped[0]
		l.skipped = l.skipped[1:]
		if r := l.requests[o.ID]; r != nil {
			r.pending--
			o.RequestEnded = r.ended
			defer l.drop(r)
		}
		ev = o
	}
	listed, avoided := l.module.Servers()
	l.fig.listed.Store(int64(listed))
	l.fig.avoided.Store(int64(avoided))
}

func (l *loop) carryOut(a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.attempt(a)
	case policy.Reject:
		if r := l.requests[a.ID]; r != nil {
			l.refuse(r, a.Wait)
		}
	case policy.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.answer(r, downstream.Response{Status: http.StatusBadGateway})
			l.drop(r)
		}
	case policy.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].flight.Cancel()
		}
	case policy.SetAttemptDeadline:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].flight.SetDeadline(l.clock.at(min(a.AttemptDeadline, r.deadline)))
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{due: l.clock.now() + a.Wait, token: a.Token})
	case policy.WatchList:
		l.disc.SetWatching(a.Enabled)
	case policy.Log:
		slog.Info(a.Text)
	default: // probes and peer messages are not allowed here, and the module asks for none
		slog.Error("the module wants what this node can't do", "action", a.Kind)
	}
}

// attempt sends a request out, unless it is too late or too often for that: then it is skipped.
func (l *loop) attempt(a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		slog.Error("the module sends a request that is not open")
		return
	}
	n := len(r.attempts)
	r.pending++
	if r.ended || now >= r.deadline || n >= max(1, l.allowed.MaxAttempts) || r.spent() {
		r.attempts = append(r.attempts, attempt{server: a.Server, sent: now, flight: upstream.NewLifetime(time.Time{})})
		l.skipped = append(l.skipped, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: policy.NotAttempted})
		return
	}
	until := r.deadline
	if a.AttemptDeadline > 0 {
		until = min(until, a.AttemptDeadline)
	}
	f := upstream.NewLifetime(l.clock.at(until))
	r.attempts = append(r.attempts, attempt{server: a.Server, sent: now, flight: f})
	to := upstream.Attempt{Request: &r.Forwarded, Timeout: until - now, Lifetime: f, Observer: &attemptObserver{l, r, n}}
	if r.Request.Incomplete {
		to.Timeout = r.Timeout - r.margin()
	}
	l.attempts.Go(func() { l.send(ending{r, n, l.up.Do(a.Server, to)}) })
}

func (l *loop) refuse(r *request, wait time.Duration) {
	a := downstream.Response{Status: http.StatusServiceUnavailable}
	if wait > 0 && l.allowed.RetryAfter {
		a = downstream.Response{Status: http.StatusTooManyRequests, RetryAfter: wait}
	}
	l.answer(r, a)
	l.drop(r)
}

// answer gives the client its one answer; whatever comes later is not passed on.
func (l *loop) answer(r *request, a downstream.Response) {
	if !r.ended {
		l.settle(r)
		r.Reply <- a
	}
}

// fail gives the client its one answer where the module has none in time, and tells it so.
func (l *loop) fail(r *request, status int) {
	l.answer(r, downstream.Response{Status: status})
	l.tell(policy.ClientCancelled{ID: r.Request.ID})
	l.drop(r)
}

// settle marks r as answered, or given up by its client: the first to do so wins. What waits for its connection
// then is not written, which calls nothing off that a server has begun.
func (l *loop) settle(r *request) {
	r.ended = true
	for _, a := range r.attempts {
		a.flight.CancelUnlessConnected()
	}
	l.owed--
	if r.backstop.at >= 0 { // else it would keep the request until a deadline that may be far off
		heap.Remove(&l.timers, r.backstop.at)
	}
}

// drop forgets a request that is answered and has no attempt out.
func (l *loop) drop(r *request) {
	if r.ended && r.pending == 0 && l.requests[r.Request.ID] == r {
		delete(l.requests, r.Request.ID)
	}
}

// timer is one of the module's, or a request's backstop.
type timer struct {
	due      policy.Time
	token    uint64
	backstop *request
	at       int // its place among the timers; -1 once it is out
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].at, t[j].at = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).at = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	x.at, (*t)[last] = -1, nil
	*t = (*t)[:last]
	return x
}
