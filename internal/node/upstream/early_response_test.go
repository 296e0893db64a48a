package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// stuckBody is a body that has arrived whole, but whose bytes the attempt gets only when taken is closed.
type stuckBody struct{ taken chan struct{} }

func (b stuckBody) Next() ([]byte, error) {
	<-b.taken
	return nil, errors.New("not taken")
}

func (stuckBody) Begin()    {}
func (stuckBody) End(error) {}

// Guards against a connection that is used for another request while the body of an early answered one is still being
// written to it.
func TestConnectionIsNotReusedBeforeTheBodyIsWritten(t *testing.T) {
	addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") // the transport may have closed it
			_, _ = r.ReadByte()                                                    // until the close
		}
	})
	tr := newTestTransport(t, addr)
	body := stuckBody{make(chan struct{})}
	defer close(body.taken)
	r := newTestRequest(http.MethodPost, "r", "start")
	r.Stream, r.Length = body, 1<<20
	result := tr.Do("s0", Attempt{Request: r, Timeout: nodetest.Timeout, Lifetime: NewLifetime(time.Now().Add(nodetest.Timeout)),
		Observer: connectedClient{t}})
	if _, idle := tr.connCounts("s0"); result.Code != policy.OK || idle != 0 {
		t.Errorf("early response: got code %v and %d idle connections, want %v and 0", result.Code, idle, policy.OK)
	}
}
