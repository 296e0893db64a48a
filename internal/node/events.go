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

// event is what the loop handles. The types in this file are all that there are.
type event interface {
	// handle is called in the loop's goroutine.
	handle(l *loop)
}

// Events of requests.
type (
	// arrival is a request whose client waits for its answer.
	arrival struct{ x *downstream.Exchange }
	// departure is a client that has left.
	departure struct{ x *downstream.Exchange }
	// bodyEnded is the end of a body that was sent on while it came in: whole, or with the error that ended it.
	bodyEnded struct {
		x   *downstream.Exchange
		err error
	}
	// answerBegun is an answer that is passed on as it comes.
	answerBegun struct {
		r *request
		n int // the attempt's index
		downstream.Response
	}
	// attemptEnded is the end of an attempt.
	attemptEnded struct {
		r *request
		n int // the attempt's index
		upstream.Result
	}
	// failUnanswered fails what has no answer and rejects what comes: the node stops.
	failUnanswered struct{}
)

// Events of the node's surroundings.
type (
	// endpointUpdate is a change of the endpoint list.
	endpointUpdate struct{ discovery.Update }
	// configChanged is a configuration to go over to.
	configChanged struct{ config.Config }
	// fleetSizeChanged is how many nodes this one reaches, and how many of them in its own zone.
	fleetSizeChanged struct{ reachable, reachableInZone int }
	// predecessorInFlight is the other process's attempts, by server.
	predecessorInFlight struct{ inFlight map[string]int }
	// successorGone is the end of a successor, that has served or not.
	successorGone struct{ served bool }
)

// Requests for what the balancer knows. The loop answers each once.
type (
	// snapshotRequest asks for the state to hand over. From then on the balancer counts with a successor.
	snapshotRequest struct{ reply chan<- hotrestart.State }
	// inFlightRequest asks for this process's attempts, by server.
	inFlightRequest struct{ reply chan<- map[string]int }
	// tailRequest asks how long slow answers took lately.
	tailRequest struct{ reply chan<- time.Duration }
	// fleetStateRequest asks what the balancer makes of the fleet.
	fleetStateRequest struct{ reply chan<- fleetState }
	// zonesRequest asks what the balancer makes of the zones.
	zonesRequest struct{ reply chan<- []policy.ZoneState }
)

// query sends the loop a request that is made for the reply, and waits for the answer; not ok once the loop has ended.
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

func (e arrival) handle(l *loop) { l.startRequest(e.x) }

func (e departure) handle(l *loop) {
	if r := l.requestOf(e.x); r != nil {
		l.cancelRequest(r)
	}
}

func (e bodyEnded) handle(l *loop) {
	if r := l.requestOf(e.x); r != nil && !r.ended {
		l.finishUpload(r, e.err)
	}
}

func (e answerBegun) handle(l *loop) { l.forwardAnswer(e) }

func (e attemptEnded) handle(l *loop) { l.endAttempt(e) }

func (failUnanswered) handle(l *loop) {
	l.finished = true
	for _, r := range l.requests {
		if !r.ended {
			l.fail(r, http.StatusBadGateway)
		}
	}
}

func (e endpointUpdate) handle(l *loop) { l.applyUpdate(e.Update) }

func (e configChanged) handle(l *loop) { l.applyConfig(e.Config) }

func (e fleetSizeChanged) handle(l *loop) {
	l.decide(policy.FleetSize{ReachableNodes: e.reachable, ReachableInZone: e.reachableInZone})
}

func (e predecessorInFlight) handle(l *loop) { l.balancer.SetSiblingInFlight(e.inFlight) }

func (e successorGone) handle(l *loop) { l.decide(policy.HandedOver{SuccessorServed: e.served}) }

func (e snapshotRequest) handle(l *loop) {
	state := hotrestart.State{Policy: l.balancer.Snapshot(l.clock.now()), InFlight: l.balancer.InFlight()}
	state.SetEndpointList(maps.Values(l.endpoints))
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
