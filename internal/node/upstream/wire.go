package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"sloerail/internal/node/http1"
	"sloerail/policy"
)

// Header fields of requests to servers and of their responses.
const (
	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	timeoutHeader        = "X-Deadline-Ms" // milliseconds that the server has to respond
	loadReportHeader     = "X-Load"        // name=value,name=value
	notRunHeader         = "X-Not-Run"     // "1" in an error response: the request had no effect
)

// appendRequestHead appends the head of the request to a server. It adds no fields such as User-Agent, which the server
// would take for the client's.
func appendRequestHead(b []byte, a Attempt) []byte {
	r := a.Request
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = http1.AppendField(b, requestIDHeader, r.ID)
	b = http1.AppendField(b, idempotencyKeyHeader, r.IdempotencyKey)
	b = http1.AppendField(b, "Content-Type", r.ContentType)
	b = append(b, "\r\n"+timeoutHeader+": "...)
	b = strconv.AppendInt(b, max(1, a.Lifetime.left(a.Timeout).Milliseconds()), 10)
	if r.hasFraming() {
		b = http1.AppendBodyFraming(b, r.contentLength())
	}
	return append(b, "\r\n\r\n"...)
}

// outcome returns the attempt's outcome according to a complete response.
func (resp *response) outcome() policy.Code {
	switch resp.Status {
	case http.StatusOK:
		return policy.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.head.Get(notRunHeader) == "1" { // without the field, the request may have run
			return policy.Overloaded
		}
	}
	return policy.ServerError
}

// loadReport returns the response's load report, in the order of fields.
func (resp *response) loadReport(fields []string) []float64 {
	return parseLoadReport(resp.head.Get(loadReportHeader), fields)
}

// parseLoadReport returns the values of a load report in the order of fields, with NaN for absent or invalid ones. It
// returns nil if there is no report or no field is wanted.
func parseLoadReport(text string, fields []string) []float64 {
	if text == "" || len(fields) == 0 {
		return nil
	}
	values := make([]float64, len(fields))
	for i, field := range fields {
		values[i] = math.NaN()
		for _, pair := range strings.Split(text, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if v, err := strconv.ParseFloat(value, 64); name == field && err == nil {
				values[i] = v
			}
		}
	}
	return values
}
