package emulator

import "time"

// RetrySafety specifies whether a request of a class may run more than once.
type RetrySafety string

// Values of RetrySafety, as settings spell them.
const (
	Idempotent       RetrySafety = "free"        // any number of times
	IdempotencyKeyed RetrySafety = "guarded"     // any number of times within a cell and a time window, where servers drop repeats of a key
	NonIdempotent    RetrySafety = "single_shot" // at most once
)

// Class describes a class of requests that clients send.
type Class struct {
	Name             string
	Share            float64       // of the requests, relative to the shares of the other classes
	MinWork, MaxWork time.Duration // range of the work of a request, in time of a core of speed 1
	LatencyObjective time.Duration // a request is served in time if a response with status 200 arrives within this time after its first attempt
	Deadline         time.Duration // retries start only within this time after the first attempt
	PriorityWeight   float64       // value of a request that is served in time
	RetrySafety      RetrySafety
	DedupWindow      time.Duration // for IdempotencyKeyed classes; 0 for others
}

// Classes returns the classes of the operators' documentation.
func Classes() []Class {
	const ms = time.Millisecond
	return []Class{
		{"meter-read", 0.51, 230 * ms, 410 * ms, 1500 * ms, 3000 * ms, 1, Idempotent, 0},
		{"service-order", 0.26, 150 * ms, 270 * ms, 750 * ms, 2500 * ms, 2, IdempotencyKeyed, 12 * time.Second},
		{"bill-charge", 0.23, 340 * ms, 610 * ms, 2500 * ms, 6000 * ms, 5, NonIdempotent, 0},
	}
}

// Tenant is a customer whose clients send requests.
type Tenant struct {
	Name  string
	Share float64 // of the requests, relative to the shares of the other tenants
}
