package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
)

// Each cause of an unreadable request body has its own response status.
func TestBodyErrorStatus(t *testing.T) {
	for err, want := range map[error]int{
		ErrBodyTooLong: 413, io.ErrUnexpectedEOF: 400, &net.OpError{Err: os.ErrDeadlineExceeded}: 408, errors.New("x"): 400,
	} {
		if got, _ := BodyErrorStatus(err); got != want {
			t.Errorf("status for error %v: got %d, want %d", err, got, want)
		}
	}
}
