package registry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

// renewalsPerTTL is the number of lease renewals per TTL. It is above 1, so that a lease survives a failed renewal.
const renewalsPerTTL = 3

// Agent registers one endpoint and renews its lease.
type Agent struct {
	Client   *Client
	Endpoint Endpoint
	TTL      time.Duration
}

// Run registers the endpoint and renews its lease until ctx ends. If the lease is lost, it registers the endpoint again.
// It retries calls that fail, and returns early only if the registry rejects a call as invalid (status 400); the error is
// then a StatusError. When ctx ends, Run sets the endpoint's phase to draining, waits for the duration drain, deregisters
// the endpoint, and returns the errors of the last two calls.
func (a *Agent) Run(ctx context.Context, drain time.Duration) error {
	registered := false
	wait := time.Duration(0)
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return a.deregister(drain)
		}
		err := a.registerOrRenew(ctx, registered)
		switch {
		case err == nil:
			if !registered {
				slog.Info("registry agent: registered", "id", a.Endpoint.ID, "ttl", a.TTL)
			}
			registered, wait = true, a.TTL/renewalsPerTTL
		case hasStatus(err, http.StatusNotFound):
			slog.Warn("registry agent: lease lost, registering again", "id", a.Endpoint.ID)
			registered, wait = false, 0
		case hasStatus(err, http.StatusBadRequest):
			return err
		default:
			message := "registry agent: no response from the registry"
			if errors.As(err, new(StatusError)) {
				message = "registry agent: registry rejected the call"
			}
			slog.Warn(message, "id", a.Endpoint.ID, "error", err)
			wait = maxBackoff/2 + rand.N(maxBackoff)
		}
	}
}

func hasStatus(err error, code int) bool {
	var status StatusError
	return errors.As(err, &status) && status.StatusCode == code
}

func (a *Agent) path() string { return instancesPath + "/" + a.Endpoint.ID }

func (a *Agent) registerOrRenew(ctx context.Context, registered bool) error {
	if registered {
		return a.Client.Do(ctx, http.MethodPut, a.path()+"/"+leaseResource, nil, nil, 0)
	}
	return a.Client.Do(ctx, http.MethodPut, a.path(), newRegistration(a.Endpoint, a.TTL), nil, 0)
}

// deregister sets the endpoint's phase to draining, waits for the duration drain, and removes the endpoint. If the phase
// can't be set, it removes the endpoint without waiting. It uses its own context, because Run's has ended.
func (a *Agent) deregister(drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain+2*callTimeout)
	defer cancel()
	draining := phaseBody{Phase: PhaseDraining}
	err := a.Client.Do(ctx, http.MethodPut, a.path()+"/"+phaseResource, draining, nil, 0)
	if err == nil {
		slog.Info("registry agent: draining", "id", a.Endpoint.ID, "for", drain)
		select {
		case <-time.After(drain):
		case <-ctx.Done():
		}
	}
	return errors.Join(err, a.Client.Do(ctx, http.MethodDelete, a.path(), nil, nil, 0))
}
