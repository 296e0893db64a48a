package node

import (
	"maps"
	"net/http"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/hotrestart"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

// event is an input of the loop. All event types are in this file.
type event interface {
	// handle processes the event. It is called in the loop's goroutine.
	handle(l *loop)
}

// Request events.
type (
	// requestReceived is a new request. Its body may still be arriving.
	requestReceived struct{ x *downstream.Exchange }
	// clientDisconnected is the disconnect of a request's client.
	clientDisconnected struct{ x *downstream.Exchange }
	// bodyReceived is the arrival of the last byte of a request body that is streamed to the server. The client sent it
	// after the given time, maybe at once, so its timeout counts from then.
	bodyReceived struct {
		x         *downstream.Exchange
		sentAfter policy.Time
	}
	// bodyEnded is the end of a request body that was streamed to the server. err is nil if an attempt has taken all of it. An
	// attempt that is not sent because its client has disconnected also causes a bodyEnded, with an error. Any error ends
	// the request.
	bodyEnded struct {
		x   *downstream.Exchange
		err error
	}
	// responseStarted is the start of a response that is streamed to the client.
	responseStarted struct {
		r     *request
		index int // the attempt's index
		downstream.Response
	}
	// attemptEnded is the end of an attempt, with its result.
	attemptEnded struct {
		r     *request
		index int // the attempt's index
		upstream.Result
	}
	// failUnanswered fails all requests without a response, has long responses that are held back passed on, and rejects new
	// requests. It is sent at the end of a shutdown.
	failUnanswered struct{}
)

// Events of the list, the configuration, the fleet and hot restarts.
type (
	// endpointUpdate is a change of the endpoint list, or the list service's failure.
	endpointUpdate struct{ discovery.Update }
	// configChanged is a reloaded configuration.
	configChanged struct{ config.Config }
	// fleetSizeChanged is the number of reachable nodes, including this one, and how many of them are in its zone.
	fleetSizeChanged struct{ reachable, reachableInZone int }
	// predecessorInFlight is the number of the predecessor's attempts in flight by server.
	predecessorInFlight struct{ inFlight map[string]int }
	// successorGone says that a successor ended, and whether it had served clients.
	successorGone struct{ served bool }
	// executedElsewhere is IDs of requests that the predecessor or the successor may have run.
	executedElsewhere struct {
		hashes        []uint64
		fromSuccessor bool
	}
)

// Queries of the balancer's state. The loop sends one reply to each.
type (
	// snapshotRequest asks for the state to hand over. From then until successorGone, the balancer leaves the refills
	// and half of the tokens of each bucket, the retries, and the requests to servers that are warming up, to the
	// successor.
	snapshotRequest struct{ reply chan<- hotrestart.State }
	// inFlightRequest asks for the number of this process's attempts in flight by server.
	inFlightRequest struct{ reply chan<- map[string]int }
	// tailRequest asks for the longest of the classes' estimated 95th percentiles of the latency.
	tailRequest struct{ reply chan<- time.Duration }
	// fleetStateRequest asks for the balancer's view of the fleet.
	fleetStateRequest struct{ reply chan<- fleetState }
	// zonesRequest asks for the balancer's state of each zone.
	zonesRequest struct{ reply chan<- []policy.ZoneState }
)

// query calls request with a new reply channel, sends the resulting event to the loop, and waits for the reply. ok is
// false if the loop has ended.
func query[T any](l *loop, request func(reply chan<- T) event) (v T, ok bool) {
	reply := make(chan T, 1)
	l.send(request(reply))
	select {
	case v = <-reply:
		return v, true
	case <-l.done:
		return v, false
	}
}

func (e requestReceived) handle(l *loop) { l.startRequest(e.x) }

func (e clientDisconnected) handle(l *loop) {
	if r := l.requestOf(e.x); r != nil {
		l.cancelRequest(r)
	}
}

func (e bodyReceived) handle(l *loop) {
	if r := l.requestOf(e.x); r != nil && !r.ended {
		l.startClientTimeout(r, e.sentAfter)
	}
}

func (e bodyEnded) handle(l *loop) {
	if r := l.requestOf(e.x); r != nil && !r.ended {
		l.finishUpload(r, e.err)
	}
}

func (e responseStarted) handle(l *loop) { l.forwardResponse(e) }

func (e attemptEnded) handle(l *loop) { l.endAttempt(e) }

func (failUnanswered) handle(l *loop) {
	l.rejectAll = true
	for _, r := range l.requests {
		switch {
		case r.ended:
		case r.hasResponse():
			r.endStartHolds()
		default:
			l.fail(r, http.StatusBadGateway, "the node stops")
		}
	}
}

func (e endpointUpdate) handle(l *loop) { l.applyUpdate(e.Update) }

func (e configChanged) handle(l *loop) { l.applyConfig(e.Config) }

func (e fleetSizeChanged) handle(l *loop) {
	l.decide(policy.FleetSize{ReachableNodes: e.reachable, ReachableInZone: e.reachableInZone})
}

func (e predecessorInFlight) handle(l *loop) { l.balancer.SetSiblingInFlight(e.inFlight) }

func (e successorGone) handle(l *loop) {
	l.toSuccessor.setOpen(false)
	l.decide(policy.HandedOver{SuccessorServed: e.served})
}

func (e executedElsewhere) handle(l *loop) {
	l.executed.add(e.hashes...)
	if e.fromSuccessor {
		l.toPredecessor.add(e.hashes...)
	} else {
		l.toSuccessor.add(e.hashes...)
	}
}

func (e snapshotRequest) handle(l *loop) {
	state := hotrestart.State{Policy: l.balancer.Snapshot(l.clock.now()), InFlight: l.balancer.InFlight()}
	state.SetEndpointList(maps.Values(l.endpoints))
	state.SetFormerClasses(l.classes.Load().handOver(time.Now()))
	state.Executed, state.AcceptsExecuted = l.idsToHandOver(), true
	l.toSuccessor.setOpen(true)
	e.reply <- state
	l.decide(policy.HandedOver{Active: true})
}

func (e inFlightRequest) handle(l *loop) { e.reply <- l.balancer.InFlight() }

func (e tailRequest) handle(l *loop) { e.reply <- l.balancer.TailLatency() }

func (e fleetStateRequest) handle(l *loop) {
	var state fleetState
	state.quotaNodes, state.reachable, state.partitioned = l.balancer.FleetSize()
	e.reply <- state
}

func (e zonesRequest) handle(l *loop) { e.reply <- l.balancer.Zones(l.clock.now()) }
