package testcluster

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sloerail/internal/emulator"
)

// errNoConnection is for a try that no node ever took.
var errNoConnection = errors.New("no connection")

// clientConn is a client's connection to a node: one request at a time, as the protocol page has it.
type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

// exchange sends t to the node and reads the answer; written is called once its last byte is written. A request
// that crosses with the end of a kept connection is sent once more, on a new one.
func (d *backend) exchange(t *emulator.Try, written func()) (status int, retryAfter time.Duration, err error) {
	end := time.Now().Add(t.Expires)
	for _, fresh := range []bool{false, true} {
		c, err := d.connect(end, fresh)
		if err != nil {
			return 0, 0, fmt.Errorf("%w: %w", errNoConnection, err)
		}
		reused := c.used
		status, retryAfter, err = d.exchangeOn(c, t, end, written)
		if err == nil {
			return status, retryAfter, nil
		}
		_ = c.Close()
		if !reused || !errors.Is(err, errEndedUnanswered) {
			return 0, 0, err
		}
	}
	return 0, 0, errEndedUnanswered
}

// errEndedUnanswered is for a connection that ended before a byte of an answer.
var errEndedUnanswered = errors.New("the connection ended with no answer")

func (d *backend) connect(end time.Time, fresh bool) (*clientConn, error) {
	d.mu.Lock()
	if n := len(d.idle); n > 0 && !fresh {
		c := d.idle[n-1]
		d.idle = d.idle[:n-1]
		d.mu.Unlock()
		return c, nil
	}
	d.mu.Unlock()
	conn, err := net.DialTimeout("tcp", d.node.Listen, time.Until(end))
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, r: bufio.NewReader(conn)}, nil
}

func (d *backend) exchangeOn(c *clientConn, t *emulator.Try, end time.Time, written func()) (int, time.Duration, error) {
	if err := c.SetDeadline(end); err != nil {
		return 0, 0, err
	}
	method, more := http.MethodPost, "Content-Length: 0\r\n"
	if t.Class.RetrySafety == emulator.Idempotent {
		method, more = http.MethodGet, ""
	}
	if t.Key != "" {
		more += "Idempotency-Key: " + t.Key + "\r\n"
	}
	if t.Number > 0 {
		more += "X-Retry: 1\r\n"
	}
	_, err := fmt.Fprintf(c, "%s /api?work=%v HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\n"+
		"X-Tenant: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, t.Work, t.ID, t.Class.Name, t.Tenant,
		max(1, time.Until(end).Milliseconds()), more)
	if err != nil {
		return 0, 0, endedUnanswered(err)
	}
	written()
	if _, err := c.r.Peek(1); err != nil {
		return 0, 0, endedUnanswered(err)
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, 0, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, err
	}
	if resp.StatusCode == http.StatusOK && string(body) != "served "+t.ID {
		return 0, 0, fmt.Errorf("%s: 200 with another's answer: %q", t.ID, body)
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.Close {
		_ = c.Close()
	} else {
		c.used = true
		d.mu.Lock()
		d.idle = append(d.idle, c)
		d.mu.Unlock()
	}
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// endedUnanswered marks the end of a connection as one that may have crossed with a request.
func endedUnanswered(err error) error {
	if isTimeout(err) {
		return err
	}
	return fmt.Errorf("%w: %w", errEndedUnanswered, err)
}
