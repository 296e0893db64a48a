package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"sloerail/internal/node/http1"
	"sloerail/policy"
)

// Header fields between a node and its servers.
const (
	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	timeoutHeader        = "X-Deadline-Ms" // milliseconds that the server has for the response
	loadReportHeader     = "X-Load"        // name=value,name=value
	notRunHeader         = "X-Not-Run"     // "1" beside an error: the request had no effect
)

// appendRequestHead appends the head of the request that a server gets; nothing is added in the client's name.
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
	b = strconv.AppendInt(b, max(1, a.Timeout.Milliseconds()), 10)
	if r.hasFraming() {
		b = http1.AppendBodyFraming(b, r.contentLength())
	}
	return append(b, "\r\n\r\n"...)
}

// outcome is what a complete response says of its attempt.
func (resp *response) outcome() policy.Code {
	switch resp.Status {
	case http.StatusOK:
		return policy.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.head.Get(notRunHeader) == "1" { // without it, it may have run
			return policy.Overloaded
		}
	}
	return policy.ServerError
}

// loadReport is the load report of a response, in the order of fields.
func (resp *response) loadReport(fields []string) []float64 {
	return parseLoadReport(resp.head.Get(loadReportHeader), fields)
}

// parseLoadReport reads a load report into the order of fields, NaN where one is absent; nil where there is none.
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
