package upstream

import (
	"net/http"

	"sloerail/internal/node/memory"
)

// Request is a client's request as forwarded to servers. It must not change while attempts use it.
type Request struct {
	Held           *memory.Reservation // counts what is held of its responses; nil for no count
	ID             string
	Method         string
	Path           string // path and query, unchanged from the client's request
	Host           string
	IdempotencyKey string     // lets servers drop repeated requests; empty for none
	ContentType    string     // empty for none
	Body           []byte     // the buffered part of the body
	Stream         BodyStream // the rest of the body; nil if Body is complete
	Length         int64      // length of the complete body in bytes if Stream is set; -1 if unknown
}

// BodyStream is the part of a request's body that an attempt reads from the client while it sends the request. One
// attempt at a time reads it.
type BodyStream interface {
	// Next waits for the next bytes of the body. They are valid until the next call. It returns io.EOF at the end of the
	// complete body.
	Next() ([]byte, error)
	// Begin is called before each Next of an attempt. The request can't be sent again after that.
	Begin()
	// End is called when an attempt can read nothing more: with nil at the end of the complete body, else with the reason.
	End(err error)
}

// isChunked reports whether the body is written in chunks.
func (r *Request) isChunked() bool { return r.Stream != nil && r.Length < 0 }

// contentLength returns the length of the complete body in bytes, or -1 if it is unknown.
func (r *Request) contentLength() int64 {
	if r.Stream != nil {
		return r.Length
	}
	return int64(len(r.Body))
}

// hasFraming reports whether the head has a field that frames the body. The head of a GET without a body has none.
func (r *Request) hasFraming() bool { return r.contentLength() != 0 || r.Method != http.MethodGet }
