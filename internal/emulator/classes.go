package emulator

import "time"

// RetrySafety says how often a request of a class may run.
type RetrySafety string

// The words that settings have for it.
const (
	Idempotent       RetrySafety = "free"        // any number of times
	IdempotencyKeyed RetrySafety = "guarded"     // again within a cell and a window, whose servers drop repeats of its key
	NonIdempotent    RetrySafety = "single_shot" // once
)

// Class is a class of requests as clients send them.
type Class struct {
	Name             string
	Share            float64       // of the requests, in proportion to the other classes'
	MinWork, MaxWork time.Duration // of a core of speed 1, by request
	LatencyObjective time.Duration // for the time from the first attempt on
	Deadline         time.Duration // the same; no attempts after it
	PriorityWeight   float64       // value of a request that is served in time
	RetrySafety      RetrySafety
	DedupWindow      time.Duration // of IdempotencyKeyed classes
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

// Tenant is a customer.
type Tenant struct {
	Name  string
	Share float64 // of the requests, in proportion to the other tenants'
}
