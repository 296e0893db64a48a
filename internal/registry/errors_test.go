package registry

import (
	"errors"
	"testing"

	"github.com/hashicorp/raft"
)

func TestErrorsMatchTheirSentinels(t *testing.T) {
	for _, test := range []struct {
		err       error
		sentinels []error
		text      string // expected text of the response
	}{
		{&NotLeaderError{LeaderAddress: "10.2.0.2:8500"}, []error{ErrNotLeader}, "this replica is not the leader"},
		{&CommitError{Reason: raft.ErrEnqueueTimeout}, []error{ErrNotCommitted, raft.ErrEnqueueTimeout},
			"not kept by most replicas in time: timed out enqueuing operation"},
		{ErrNotCommitted, []error{ErrNotCommitted}, "not kept by most replicas in time"},
		{ErrNoTick, []error{ErrNoTick, ErrNotCommitted}, "not kept by most replicas in time"},
		{ResultNotFound.Err(), []error{ErrInstanceNotFound}, "registry: instance not found"},
		{ResultVersionMismatch.Err(), []error{ErrVersionMismatch}, "registry: instance has another version"},
		{ResultTooManyInstances.Err(), []error{ErrTooManyInstances}, "registry: too many instances"},
		{ResultCode("of a later version").Err(), []error{ErrUnknownCommand}, "registry: unknown command"},
	} {
		for _, sentinel := range test.sentinels {
			if !errors.Is(test.err, sentinel) {
				t.Errorf("errors.Is(%v, %v): got false, want true", test.err, sentinel)
			}
		}
		if got := errorText(test.err); got != test.text {
			t.Errorf("response text of error %v: got %q, want %q", test.err, got, test.text)
		}
	}
	if err := ResultOK.Err(); err != nil {
		t.Errorf("error of ResultOK: got %v, want nil", err)
	}
}

func TestFieldErrorsNameTheField(t *testing.T) {
	invalid := testEndpoint("s0")
	invalid.Size = -1
	var fieldErr *FieldError
	if err := invalid.Validate(); !errors.As(err, &fieldErr) || fieldErr.Field != "size" {
		t.Errorf("validating an endpoint with a negative size: got error %v, want a FieldError for the field size", err)
	}
}
