package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
)

// What a client gets whose body breaks off.
func TestBodyErrorStatus(t *testing.T) {
	for err, want := range map[error]int{
		ErrBodyTooLong: 413, io.ErrUnexpectedEOF: 400, &net.OpError{Err: os.ErrDeadlineExceeded}: 408, errors.New("x"): 400,
	} {
		if got, _ := BodyErrorStatus(err); got != want {
			t.Errorf("%v: %d, want %d", err, got, want)
		}
	}
}
