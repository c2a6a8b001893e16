package inbound

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("inbound")

var (
	// ErrPressure reports a body that was not read because the process needs the room for others.
	ErrPressure = namespace.NewType("pressure")
	// ErrLate reports a body that was not complete at its deadline.
	ErrLate = namespace.NewType("late")
)

const (
	// segmentBytes is the step in which the buffer of a body grows.
	segmentBytes = 8 << 10
	// handlingCopies is how often the content of a complete body may exist while it is handled: as received, decoded, and
	// encoded for another process.
	handlingCopies = 3
	// objectBytes is what an object of JSON occupies while it is decoded and encoded, however short its text is: the
	// largest structs have some 200 and 400 bytes in the two forms, and slices of them grow by copying.
	objectBytes = 1 << 10
)

type segment [segmentBytes]byte

// segments are reused, so that bodies which are given up leave no garbage.
var segments = sync.Pool{New: func() any { return new(segment) }}

// ReadBody reads a body of at most limit bytes; the buffer grows with what arrives. What it occupies counts until the
// handler returns. Errors are those that Status knows; w may be nil.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		countBody(r, "body-size")
		if w != nil {
			w.Header().Set("Connection", "close")
		}
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	data, _, held, err := read(r, http.MaxBytesReader(w, r.Body, limit), limit+1, handlingCopies)
	if c := connOf(r); c != nil {
		c.mu.Lock()
		c.requestHold += held
		c.mu.Unlock()
	}
	if err != nil && w != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not wanted
	}
	return data, err
}

// HoldObjects counts what a body occupies while at most so many objects of JSON are decoded from it, until the handler
// returns. Without room it fails with ErrPressure.
func HoldObjects(r *http.Request, body []byte, atMost int) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	n := int64(min(bytes.Count(body, []byte{'{'}), atMost)) * objectBytes
	if !c.hold(n) {
		countBody(r, "pressure")
		return ErrPressure.New("the process has no room to decode the body")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestHold += n
	return nil
}

// Buffer reads the body up to limit bytes and one more, and reports whether that is all of it. What the returned data
// occupies counts until release is called.
func Buffer(r *http.Request, limit int64) (data []byte, whole bool, release func(), err error) {
	data, whole, held, err := read(r, r.Body, limit+1, 1)
	release = func() {}
	if c := connOf(r); c != nil && held > 0 {
		release = sync.OnceFunc(func() { c.unhold(held) })
	}
	return data, whole, release, err
}

// Status returns the status of the response to a body that could not be read, and the reason in the metrics. 503 means that
// the client should send the request again.
func Status(err error) (status int, reason string) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "body-size"
	case errorx.IsOfType(err, ErrPressure):
		return http.StatusServiceUnavailable, "pressure"
	case errorx.IsOfType(err, ErrLate):
		return http.StatusRequestTimeout, "body-deadline"
	}
	return http.StatusBadRequest, "body-incomplete"
}

// WriteError writes the response to a body that could not be read.
func WriteError(w http.ResponseWriter, err error) {
	status, _ := Status(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
}

func countBody(r *http.Request, reason string) {
	if c := connOf(r); c != nil {
		c.gate.countRejected(reason)
	}
}

// read reads up to limit bytes of a body, and returns how much its connection holds for them: the given number of copies.
func read(r *http.Request, body io.Reader, limit int64, copies int64) (data []byte, whole bool, held int64, err error) {
	c := connOf(r)
	var parts []*segment
	defer func() {
		for _, p := range parts {
			segments.Put(p)
		}
		if c != nil && len(parts) > 0 {
			c.unhold(int64(len(parts)) * segmentBytes)
		}
	}()
	length := int64(0)
	for length < limit {
		offset := int(length % segmentBytes)
		if offset == 0 {
			if c != nil && !c.hold(segmentBytes) {
				err = ErrPressure.New("the process needs the room of the body")
				break
			}
			parts = append(parts, segments.Get().(*segment))
		}
		var n int
		n, err = body.Read(parts[len(parts)-1][offset:min(segmentBytes, int64(offset)+limit-length)])
		length += int64(n)
		if err != nil {
			break
		}
	}
	whole = errors.Is(err, io.EOF)
	if err == nil || whole {
		held, err = hand(c, length*copies)
	}
	if err != nil {
		err = bodyError(c, err)
		_, reason := Status(err)
		countBody(r, reason)
		return nil, false, 0, err
	}
	data = make([]byte, 0, length)
	for _, p := range parts {
		data = append(data, p[:min(segmentBytes, length-int64(len(data)))]...)
	}
	return data, whole, held, nil
}

// hand holds n bytes for a body that is complete and protects its request from being rejected.
func hand(c *conn, n int64) (int64, error) {
	if c == nil {
		return 0, nil
	}
	if !c.hold(n) {
		return 0, ErrPressure.New("the process has no room to handle the body")
	}
	if !c.endBody() {
		c.unhold(n)
		return 0, ErrPressure.New("the process needs the room of the body")
	}
	return n, nil
}

// bodyError returns why a body could not be read.
func bodyError(c *conn, err error) error {
	switch {
	case c != nil && c.isRejected():
		return ErrPressure.Wrap(err, "the process needs the room of the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrLate.Wrap(err, "the body is incomplete at its deadline")
	}
	return err
}
