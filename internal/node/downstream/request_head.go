package downstream

import (
	"bufio"
	"io"
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	"sloerail/internal/node/http1"
	"sloerail/policy"
)

// Header fields of clients' requests.
const (
	requestIDHeader      = "X-Request-Id"
	classHeader          = "X-Class"
	tenantHeader         = "X-Tenant"
	timeoutHeader        = "X-Deadline-Ms" // how long the client waits, in whole milliseconds
	idempotencyKeyHeader = "Idempotency-Key"
	affinityKeyHeader    = "X-Key"       // requests with the same key are best served by the same server
	costHintHeader       = "X-Cost-Hint" // estimated work in microseconds
	retryHeader          = "X-Retry"     // "1" if the client repeats an earlier request
)

// requestHead is the parsed head of a client's request.
type requestHead struct {
	http1.Framing
	began           arrival // of its first byte
	headBytes       int     // length of the strings that the fields below are parts of
	minor           int     // minor version of HTTP/1: 0 or 1
	method          string
	path            string // path and query
	host            string // empty if absent
	expectsContinue bool   // the client waits for 100 Continue before it sends the body

	// The values of header fields, empty if absent.
	id, class, tenant, timeoutMillis, idempotencyKey, affinityKey, costHint, retry, contentType string
}

// parseRequest converts a head to a requestHead. problem is nil if the head is valid.
func parseRequest(h *http1.Head) (m requestHead, problem *requestError) {
	m.headBytes = h.Bytes
	target, problem := m.setRequestLine(h.FirstLine)
	if problem != nil {
		return m, problem
	}
	var err error
	// HTTP/1.0 has no chunked encoding.
	if m.Framing, err = h.Framing(); err != nil || m.Chunked && m.minor == 0 {
		return m, &requestError{status: http.StatusBadRequest, text: http1.ErrAmbiguousFraming.Error()}
	}
	if !m.Chunked && m.Length < 0 {
		m.Length = 0
	}
	if problem := m.setHostAndExpect(h); problem != nil {
		return m, problem
	}
	if !m.setTarget(target) {
		return m, malformedRequestLine()
	}
	m.id, m.class, m.tenant = h.Get(requestIDHeader), h.Get(classHeader), h.Get(tenantHeader)
	m.timeoutMillis, m.idempotencyKey = h.Get(timeoutHeader), h.Get(idempotencyKeyHeader)
	m.affinityKey, m.costHint, m.retry = h.Get(affinityKeyHeader), h.Get(costHintHeader), h.Get(retryHeader)
	m.contentType = h.Get("Content-Type")
	return m, nil
}

// detachedHeadBytes is the length of the strings of a head from which they are copied. Shorter ones keep the head in memory.
const detachedHeadBytes = 1 << 10

// detach copies the strings that m has from a long head, so that the head is not kept in memory by them.
func (m *requestHead) detach() {
	if m.headBytes < detachedHeadBytes {
		return
	}
	for _, s := range []*string{&m.method, &m.path, &m.host, &m.id, &m.class, &m.tenant, &m.timeoutMillis, &m.idempotencyKey,
		&m.affinityKey, &m.costHint, &m.retry, &m.contentType} {
		*s = strings.Clone(*s)
	}
	m.headBytes = m.bytes()
}

// bytes returns the length of the strings that stay with the request.
func (m *requestHead) bytes() int {
	return len(m.path) + len(m.host) + len(m.id) + len(m.tenant) + len(m.idempotencyKey) + len(m.affinityKey) + len(m.contentType)
}

func malformedRequestLine() *requestError {
	return &requestError{status: http.StatusBadRequest, text: "malformed request line"}
}

// setRequestLine sets the method and the version from the first line, and returns the target.
func (m *requestHead) setRequestLine(line string) (target string, problem *requestError) {
	method, line, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(line, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) || !strings.HasPrefix(version, "HTTP/") {
		return "", malformedRequestLine()
	}
	if m.minor, ok = http1.ParseVersion(version); !ok {
		return "", &requestError{status: http.StatusHTTPVersionNotSupported, text: "want HTTP/1.1"}
	}
	m.method = method
	return target, nil
}

// setHostAndExpect validates the Host and Expect fields, and sets host and expectsContinue.
func (m *requestHead) setHostAndExpect(h *http1.Head) *requestError {
	hosts := 0
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, "Host") {
			hosts++
		} else if strings.EqualFold(f.Name, "Expect") {
			if m.expectsContinue = strings.EqualFold(f.Value, "100-continue"); !m.expectsContinue {
				return &requestError{status: http.StatusExpectationFailed, text: "Expect: want 100-continue"}
			}
		}
	}
	m.host = h.Get("Host")
	// A request in HTTP/1.0 may omit Host.
	if hosts > 1 || hosts == 0 && m.minor > 0 || !httpguts.ValidHostHeader(m.host) {
		return &requestError{status: http.StatusBadRequest, text: "Host: want exactly one"}
	}
	return nil
}

// isReadinessCheck reports whether the request asks for ReadyPath.
func (m *requestHead) isReadinessCheck() bool {
	path, _, _ := strings.Cut(m.path, "?")
	return path == ReadyPath && (m.method == http.MethodGet || m.method == http.MethodHead)
}

// acceptedClass returns the class that binds the request: by the rules in force when its first byte arrived.
func (m *requestHead) acceptedClass() (c *policy.AcceptedClass, ok bool) {
	return m.began.rules.Class(m.class, m.method, m.idempotencyKey != "", m.began.at)
}

// setTarget sets the path and query, and reports whether the target is valid. A target that is only a path and query is
// forwarded unchanged. From an absolute URL, setTarget also sets the host.
func (m *requestHead) setTarget(target string) bool {
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] > '~' {
			return false
		}
	}
	if strings.HasPrefix(target, "/") {
		m.path = target
		if !strings.Contains(target, "%") {
			return true
		}
		_, err := url.ParseRequestURI(target)
		return err == nil
	}
	u, err := url.ParseRequestURI(target) // an absolute URL, as sent to a proxy
	if err != nil || u.Host == "" {
		return false
	}
	m.host, m.path = u.Host, u.RequestURI()
	return true
}

// openBody returns a reader of the body, which follows in r.
func (m *requestHead) openBody(r *bufio.Reader) io.Reader {
	if m.Chunked {
		return http1.NewChunkedBody(r)
	}
	return &http1.SizedBody{Reader: r, Remaining: m.Length}
}
