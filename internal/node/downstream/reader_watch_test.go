package downstream

import (
	"io"
	"net"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// Guards against a client that is cut off because it takes a block slowly, although it goes on to read.
func TestSlowReaderIsNotCutOff(t *testing.T) {
	const period, bufferBytes, blockBytes = time.Second, 16 << 10, 384 << 10
	for name, reads := range map[string]bool{"reads slowly": true, "stops reading": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := nodetest.Listener(t)
			client := nodetest.Dial(t, l.Addr().String())
			defer nodetest.CloseIgnoringClosed(t, client)
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer nodetest.CloseIgnoringClosed(t, conn)
			_ = client.(*net.TCPConn).SetReadBuffer(bufferBytes)
			_ = conn.(*net.TCPConn).SetWriteBuffer(bufferBytes)
			if reads {
				go func() {
					for {
						time.Sleep(period / 20)
						if _, err := io.CopyN(io.Discard, client, bufferBytes/4); err != nil {
							return
						}
					}
				}()
			}
			watch := &readerWatch{conn: conn, period: period}
			begin := time.Now()
			watch.begin()
			n, err := conn.Write(make([]byte, blockBytes))
			watch.end()
			took := time.Since(begin)
			if reads && (err != nil || took < period) {
				t.Errorf("client that reads slowly: got %d bytes written in %v, error %v; want all of %d, in more than a period", n, took, err, blockBytes)
			}
			if !reads && err == nil {
				t.Errorf("client that stops reading: got %d bytes written in %v, want an error", n, took)
			}
		})
	}
}
