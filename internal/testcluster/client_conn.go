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

// Errors of attempts that ended without a response.
var (
	errNoConnection     = errors.New("cannot connect to the node")
	errClosedUnanswered = errors.New("connection closed before a response") // not even its first byte arrived
)

// clientConn is a client's connection to a node, for one request at a time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // has carried a request
}

// exchange sends an attempt to the node and returns its response. It calls written after the last byte of the request
// is written. A node may close an idle connection at any time. So if a reused connection is closed before the response
// begins, exchange sends the request once more on a new connection, as HTTP clients do.
func (b *backend) exchange(attempt *emulator.ClientAttempt, written func()) (status int, retryAfter time.Duration, err error) {
	deadline := time.Now().Add(attempt.Timeout)
	for _, fresh := range []bool{false, true} {
		conn, err := b.connect(deadline, fresh)
		if err != nil {
			return 0, 0, fmt.Errorf("%w: %w", errNoConnection, err)
		}
		reused := conn.used
		status, retryAfter, err = b.exchangeOn(conn, attempt, deadline, written)
		if err == nil {
			return status, retryAfter, nil
		}
		_ = conn.Close()
		if !reused || !errors.Is(err, errClosedUnanswered) {
			return 0, 0, err
		}
	}
	return 0, 0, errClosedUnanswered
}

// connect returns an idle connection, or a new one if none is idle or fresh is set.
func (b *backend) connect(deadline time.Time, fresh bool) (*clientConn, error) {
	b.mu.Lock()
	if n := len(b.idle); n > 0 && !fresh {
		conn := b.idle[n-1]
		b.idle = b.idle[:n-1]
		b.mu.Unlock()
		return conn, nil
	}
	b.mu.Unlock()
	conn, err := net.DialTimeout("tcp", b.node.Listen, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchangeOn sends an attempt on one connection and returns the response. If the connection stays open, exchangeOn adds
// it to the idle ones.
func (b *backend) exchangeOn(conn *clientConn, attempt *emulator.ClientAttempt, deadline time.Time, written func()) (
	status int, retryAfter time.Duration, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return 0, 0, err
	}
	if err := conn.writeRequest(attempt, deadline); err != nil {
		return 0, 0, asClosedUnanswered(err)
	}
	written()
	if _, err := conn.reader.Peek(1); err != nil {
		return 0, 0, asClosedUnanswered(err)
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0, err
	}
	if response.StatusCode == http.StatusOK && string(body) != servedBody(attempt.ID) {
		return 0, 0, fmt.Errorf("request %s: status 200 with an unexpected body: %q", attempt.ID, body)
	}
	if response.Close {
		_ = conn.Close()
	} else {
		conn.used = true
		b.mu.Lock()
		b.idle = append(b.idle, conn)
		b.mu.Unlock()
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

func (conn *clientConn) writeRequest(attempt *emulator.ClientAttempt, deadline time.Time) error {
	method, headers := http.MethodPost, "Content-Length: 0\r\n"
	if attempt.Class.RetrySafety == emulator.Idempotent {
		method, headers = http.MethodGet, ""
	}
	if attempt.Key != "" {
		headers += "Idempotency-Key: " + attempt.Key + "\r\n"
	}
	if attempt.Number > 0 {
		headers += "X-Retry: 1\r\n"
	}
	_, err := fmt.Fprintf(conn, "%s /api?work=%v HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\n"+
		"X-Tenant: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, attempt.Work, attempt.ID, attempt.Class.Name, attempt.Tenant,
		max(1, time.Until(deadline).Milliseconds()), headers)
	return err
}

// servedBody returns the body of a server's response to a request. It contains the request ID, so that a client detects a
// response to another request.
func servedBody(id string) string { return "served " + id }

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// asClosedUnanswered wraps an error in errClosedUnanswered, unless it is a timeout.
func asClosedUnanswered(err error) error {
	if isTimeout(err) {
		return err
	}
	return fmt.Errorf("%w: %w", errClosedUnanswered, err)
}
