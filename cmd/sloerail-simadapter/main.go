// Command sloerail-simadapter runs instances of the decision module for the operators' simulator: it reads batches of
// lines from standard input, passes events to the instances, and writes their actions to standard output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"sloerail/internal/simwire"
	"sloerail/policy"
)

const (
	// bufferBytes is the size of the buffers of standard input and output: a batch can have several megabytes.
	bufferBytes = 1 << 20

	// gcPercent trades memory for CPU: the live heap is small, and CPU per request is limited.
	gcPercent = 800
)

// Errors in the sequence of lines.
var (
	errInputEnded = errors.New("input ended inside a batch")
	errNesting    = errors.New("message outside of a batch, or start of a batch within a batch")
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sloerail-simadapter:", err)
		os.Exit(1)
	}
}

// adapter holds the instances of one process. It is not safe for concurrent use.
type adapter struct {
	decoder   simwire.Decoder
	balancers map[int]*policy.Balancer // by node
	now       policy.Time              // time of the current batch
	inBatch   bool
	reply     []byte // lines of the reply to the current batch so far
}

// serve replies to batches until the input ends. Errors of the input contain the line number.
func serve(in io.Reader, out io.Writer) error {
	a := adapter{balancers: make(map[int]*policy.Balancer)}
	lines := lineReader{buffered: bufio.NewReaderSize(in, bufferBytes)}
	w := bufio.NewWriterSize(out, bufferBytes)
	for number := 1; ; number++ {
		line, err := lines.next()
		if errors.Is(err, io.EOF) {
			if len(line) == 0 && !a.inBatch {
				return nil
			}
			return fmt.Errorf("line %d: %w", number, errInputEnded)
		}
		if err != nil {
			return fmt.Errorf("line %d: reading: %w", number, err)
		}
		batchEnded, err := a.handleLine(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if !batchEnded {
			continue
		}
		if err := writeReply(w, a.reply); err != nil {
			return err
		}
		a.reply = a.reply[:0]
	}
}

func writeReply(w *bufio.Writer, reply []byte) error {
	_, err := w.Write(reply)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

// lineReader reads lines of any length.
type lineReader struct {
	buffered *bufio.Reader
	long     []byte // reused for lines that are longer than the buffer
}

// next returns the next line without its line ending. The slice is valid until the next call.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.buffered.ReadSlice('\n')
			r.long = append(r.long, line...)
		}
		line = r.long
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// handleLine processes one line and reports whether it ended a batch.
func (a *adapter) handleLine(raw []byte) (batchEnded bool, err error) {
	line, err := a.decoder.Decode(raw)
	if err != nil {
		return false, err
	}
	if (line.Kind == simwire.BatchStart) == a.inBatch {
		return false, errNesting
	}
	switch line.Kind {
	case simwire.BatchStart:
		a.now, a.inBatch = line.Now, true
	case simwire.BatchEnd:
		a.inBatch, a.reply = false, simwire.AppendReplyEnd(a.reply)
		return true, nil
	case simwire.Configure:
		balancer, err := policy.New(line.Settings, a.now, line.Seed)
		if err != nil {
			return false, fmt.Errorf("configure: conf: %w", err)
		}
		a.balancers[line.Node] = balancer
	case simwire.Shutdown:
		delete(a.balancers, line.Node)
	case simwire.Event:
		// An event is dropped if the node has no instance: it was never configured, was shut down or has failed.
		if balancer := a.balancers[line.Node]; balancer != nil {
			a.deliver(line.Node, balancer, line.Event)
		}
	}
	return false, nil
}

// deliver passes one event to an instance. A panic removes only that instance, and is reported in the reply.
func (a *adapter) deliver(node int, balancer *policy.Balancer, event policy.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			text := strings.ReplaceAll(fmt.Sprint(cause), "\n", " ")
			fmt.Fprintf(os.Stderr, "instance %d: panic: %s\n%s", node, text, debug.Stack())
			a.reply = simwire.AppendFailure(a.reply, node, text)
			delete(a.balancers, node)
		}
	}()
	for _, action := range balancer.Handle(a.now, event) {
		a.reply = simwire.AppendAction(a.reply, node, action)
	}
}
