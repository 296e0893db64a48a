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

// Ends of an attempt without a response.
var (
	errNoConnection     = errors.New("no connection")
	errClosedUnanswered = errors.New("the connection ended with no answer") // before the first byte of a response
)

// clientConn is a client's connection to a node, for one request at a time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // has carried a request
}

// exchange sends an attempt to the node and returns its response; written is called after the last byte is written.
// A request that crosses with the end of a reused connection is sent once more, on a new one, as HTTP clients do.
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

// connect returns an idle connection, unless fresh is set, or a new one.
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

func (b *backend) exchangeOn(conn *clientConn, attempt *emulator.ClientAttempt, deadline time.Time, written func()) (
	status int, retryAfter time.Duration, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return 0, 0, err
	}
	if err := conn.writeRequest(attempt, deadline); err != nil {
		return 0, 0, closedUnanswered(err)
	}
	written()
	if _, err := conn.reader.Peek(1); err != nil {
		return 0, 0, closedUnanswered(err)
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
		return 0, 0, fmt.Errorf("%s: 200 with another's answer: %q", attempt.ID, body)
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

// servedBody is the body of a server's response to a request: it shows a response that belongs to another one.
func servedBody(id string) string { return "served " + id }

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// closedUnanswered marks the end of a connection as one that may have crossed with a request.
func closedUnanswered(err error) error {
	if isTimeout(err) {
		return err
	}
	return fmt.Errorf("%w: %w", errClosedUnanswered, err)
}
