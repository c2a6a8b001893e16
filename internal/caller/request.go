package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

const (
	// maxBufferedBodyBytes is the length of the part of a request's body that is buffered; a body that fits can be sent
	// again.
	maxBufferedBodyBytes = 1 << 20
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline        = 24 * time.Hour
	maxRequestIDLength = 128
	uuidV7             = 7
	// maxUrgentWait is the longest wait of a request of an urgent queue.
	maxUrgentWait = 3300 * time.Millisecond
)

// request is one admitted request of a caller.
type request struct {
	server       *Server
	reply        *reply
	incoming     *http.Request
	id           string
	queue        fleet.Queue
	team         string
	presentedKey string
	path         string // escaped, without /queues/<queue>
	idempotent   bool
	deadline     time.Time // zero if there is none
	arrivedAt    time.Time

	body          []byte
	stream        *streamedBody // nil when body is complete
	contentLength int64         // of the body, -1 when unknown
	releaseBody   func()        // returns what the buffered body occupies; nil if there is none

	waitTime     time.Duration
	endpointTime time.Duration // run time at endpoints
}

// errorResponse is the error response to a request of which nothing was sent to an endpoint.
type errorResponse struct {
	status          int
	reason, message string
}

// parseRequest parses the path and headers of a request and authorizes it.
func (s *Server) parseRequest(rp *reply, r *http.Request, queuePath string) (*request, *errorResponse) {
	q := &request{server: s, reply: rp, incoming: r, arrivedAt: s.cfg.Now(), contentLength: r.ContentLength}
	escapedName, path, _ := strings.Cut(queuePath, "/")
	q.path = "/" + path
	queueName, err := url.PathUnescape(escapedName)
	if err != nil {
		return nil, &errorResponse{http.StatusBadRequest, "bad-path", err.Error()}
	}
	v, err := s.cfg.View()
	if err != nil {
		return nil, &errorResponse{http.StatusServiceUnavailable, "no-lease", err.Error()}
	}
	if header := r.Header.Get("Authorization"); header != "" {
		var ok bool
		if q.presentedKey, ok = strings.CutPrefix(header, "Bearer "); !ok || q.presentedKey == "" {
			return nil, &errorResponse{http.StatusUnauthorized, "unauthorized", "Authorization must be Bearer <key>"}
		}
	}
	if errResp := q.authorize(v, queueName); errResp != nil {
		return nil, errResp
	}
	s.metrics.countRequest(queueName)
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return nil, &errorResponse{http.StatusNotImplemented, "unsupported", "protocol changes are not supported"}
	}
	if errResp := q.parseHeaders(r); errResp != nil {
		return nil, errResp
	}
	rp.requestID = q.id
	return q, nil
}

// authorize checks the key against the queue in the given view. It is called again after the request has waited,
// because the key may have been revoked or the queue changed.
func (q *request) authorize(v *view.View, queueName string) *errorResponse {
	queue, ok := v.Queue(queueName)
	if !ok {
		return &errorResponse{http.StatusNotFound, "unknown-queue", "no such queue in the configuration"}
	}
	q.queue = queue
	team, err := v.Authorize(queue, q.presentedKey)
	switch {
	case errorx.IsOfType(err, view.ErrUnauthorized):
		return &errorResponse{http.StatusUnauthorized, "unauthorized", err.Error()}
	case err != nil:
		return &errorResponse{http.StatusForbidden, "forbidden", err.Error()}
	case q.team != "" && q.team != team:
		return &errorResponse{http.StatusForbidden, "forbidden", "the team of the queue changed"}
	}
	q.team, q.reply.team = team, team
	return nil
}

func (q *request) parseHeaders(r *http.Request) *errorResponse {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		q.idempotent = true
	}
	if text := r.Header.Get(headerIdempotent); text != "" {
		if text != "true" && text != "false" {
			return &errorResponse{http.StatusBadRequest, "bad-idempotent", headerIdempotent + " must be true or false"}
		}
		q.idempotent = text == "true"
	}
	q.id = r.Header.Get(headerRequestID)
	switch {
	case len(q.id) > maxRequestIDLength || strings.ContainsFunc(q.id, func(c rune) bool { return c <= ' ' || c > '~' }):
		q.id = ""
		return &errorResponse{
			http.StatusBadRequest, "bad-request-id", "request identifiers have up to 128 visible characters",
		}
	case !q.idempotent:
		if id, err := uuid.Parse(q.id); err != nil || id.Version() != uuidV7 || len(q.id) != 36 {
			return &errorResponse{
				http.StatusBadRequest, "bad-request-id",
				"a request that is not idempotent needs a UUIDv7 in " + headerRequestID,
			}
		}
		q.id = strings.ToLower(q.id)
	case q.id == "":
		id, err := uuid.NewV7()
		if err != nil {
			return &errorResponse{http.StatusServiceUnavailable, "internal", err.Error()}
		}
		q.id = id.String()
	}
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return &errorResponse{http.StatusBadRequest, "bad-deadline", headerDeadline + " must be between 1 and 86400000"}
		}
		q.deadline = q.arrivedAt.Add(time.Duration(ms) * time.Millisecond)
	}
	return nil
}

// maxWait returns the maximum time for which the request may wait for permits.
func (q *request) maxWait() time.Duration {
	wait := q.queue.MaxWait.Std()
	if q.queue.Urgent {
		wait = min(wait, maxUrgentWait)
	}
	return wait
}

// readBody buffers the body for retries. The part of the body that exceeds the buffer is streamed later.
func (q *request) readBody(w http.ResponseWriter) *errorResponse {
	s, r := q.server, q.incoming
	if r.ContentLength > s.cfg.MaxBodyBytes {
		return &errorResponse{http.StatusRequestEntityTooLarge, "body-too-large", "the body is longer than allowed"}
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		q.contentLength = 0
		return nil
	}
	control := http.NewResponseController(w)
	// Setting a deadline fails only on a closed connection, on which the next read fails too, and on a writer without
	// deadlines, as in tests; then only the request's context bounds the read.
	_ = control.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout))
	body, whole, release, err := inbound.Buffer(r, maxBufferedBodyBytes)
	if status, _ := inbound.Status(err); err != nil && status == http.StatusServiceUnavailable {
		return &errorResponse{status, "overloaded", "too many bodies are buffered in this process"}
	} else if err != nil {
		return &errorResponse{http.StatusRequestTimeout, "body-incomplete", "read body: " + err.Error()}
	}
	q.body, q.releaseBody = body, release
	if whole {
		q.contentLength = int64(len(body))
		_ = control.SetReadDeadline(time.Time{}) // fails only on a closed connection
		return nil
	}
	// Setting a deadline fails only on a closed connection, on which the next read fails too.
	_ = control.SetReadDeadline(time.Now().Add(q.maxWait() + q.queue.MaxRun.Std()))
	q.stream = &streamedBody{r: r.Body, remaining: s.cfg.MaxBodyBytes - int64(len(body))}
	return nil
}

func (q *request) releaseBodyBytes() {
	if q.releaseBody != nil {
		q.releaseBody()
	}
}

var errBodyTooLarge = errors.New("body is longer than allowed")

// streamedBody is the part of a body that exceeds the buffer. It records read errors, which the caller causes.
type streamedBody struct {
	r         io.Reader
	remaining int64
	started   atomic.Bool
	readErr   atomic.Pointer[error]
}

// Read reads from the caller's connection.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		n, err = 0, errBodyTooLarge
	}
	if err != nil && err != io.EOF {
		b.readErr.Store(&err)
	}
	return n, err
}

// waitContext returns a context that ends after the maximum wait. It is derived from callerCtx, so that callerCtx has
// ended too when it is the cause.
func (q *request) waitContext(callerCtx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(callerCtx, q.server.cfg.Now().Add(q.maxWait()))
}

// callerContext returns a context that ends when the caller's deadline passes or the caller disconnects.
func (q *request) callerContext() (context.Context, context.CancelFunc) {
	if q.deadline.IsZero() {
		return context.WithCancel(q.incoming.Context())
	}
	return context.WithDeadline(q.incoming.Context(), q.deadline)
}
