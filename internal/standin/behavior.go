package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Behavior describes how the endpoint responds to a request. All fields but Identify can be overridden by the query
// parameter of the same name in lower case.
type Behavior struct {
	// Size is the length of the response body in bytes.
	Size int
	// Status is the HTTP status code; 0 means 200.
	Status int
	// Delay is the time before the response. It is not cut short when the client disconnects.
	Delay time.Duration
	// Cut closes the connection after Cut-1 bytes of the body; 0 writes the whole body.
	Cut int
	// Reset resets the connection "before" or "after" the request body is read; empty does not reset it.
	Reset string
	// Framing delimits the body by "length", "chunked" or "close"; empty means "length".
	Framing string
	// Trickle is the number of body bytes between pauses of 1 ms; 0 writes the body without pauses.
	Trickle int
	// Identify adds the request identifier to the response header.
	Identify bool
}

// applyQuery returns the behavior with the fields replaced that the query sets.
func (b Behavior) applyQuery(query url.Values) (Behavior, error) {
	var err error
	number := func(name string, p *int) {
		if text := query.Get(name); text != "" && err == nil {
			*p, err = strconv.Atoi(text)
			if err == nil && *p < 0 {
				err = errorx.IllegalArgument.New("%s must not be negative", name)
			}
		}
	}
	number("size", &b.Size)
	number("status", &b.Status)
	number("cut", &b.Cut)
	number("trickle", &b.Trickle)
	if text := query.Get("delay"); text != "" && err == nil {
		b.Delay, err = time.ParseDuration(text)
	}
	if text := query.Get("reset"); text != "" {
		b.Reset = text
	}
	if text := query.Get("framing"); text != "" {
		b.Framing = text
	}
	return b, err
}

func (b Behavior) respond(w http.ResponseWriter, r *http.Request, id string) {
	if b.Reset == "before" {
		resetConnection(w)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if b.Reset != "" {
		resetConnection(w)
		return
	}
	time.Sleep(b.Delay)
	status := b.Status
	if status == 0 {
		status = http.StatusOK
	}
	if b.Identify {
		w.Header().Set("Hibiscusroute-Request-Id", id)
	}
	body := Content(id, b.Size)
	if b.Cut > 0 || b.Framing == "close" {
		b.writeRaw(w, status, body)
		return
	}
	if b.Framing != "chunked" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if b.Framing == "chunked" {
		_ = http.NewResponseController(w).Flush() // makes the server choose chunked framing
	}
	_ = b.writeBody(w, body) // fails if the client has disconnected
}

func (b Behavior) writeBody(w io.Writer, body []byte) error {
	for step := b.Trickle; step > 0 && len(body) > step; body = body[step:] {
		if _, err := w.Write(body[:step]); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	_, err := w.Write(body)
	return err
}

// writeRaw writes a response that net/http cannot produce: one that is truncated or delimited by the end of the
// connection.
func (b Behavior) writeRaw(w http.ResponseWriter, status int, body []byte) {
	c, out, ok := hijack(w)
	if !ok {
		return
	}
	defer c.Close() //nolint:errcheck // the connection is meant to break
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	part := body
	if b.Cut > 0 {
		part = body[:min(b.Cut-1, len(body))]
	}
	switch b.Framing {
	case "close":
		head += "Connection: close\r\n"
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n"
		if len(part) > 0 {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := out.WriteString(head + "\r\n"); err != nil {
		return
	}
	_ = b.writeBody(out, part) // fails if the client has disconnected
	_ = out.Flush()            // fails if the client has disconnected
}

func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter, bool) {
	c, rw, err := http.NewResponseController(w).Hijack()
	return c, rw, err == nil
}

func resetConnection(w http.ResponseWriter) {
	c, _, ok := hijack(w)
	if !ok {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a TCP reset
	}
	_ = c.Close() // the connection is meant to break
}
