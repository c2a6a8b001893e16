package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	kitendpoint "github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// routes returns a handler with an endpoint per method and path. Health checks are served without a key, because load
// balancers have none.
func (s *Server) routes() http.Handler {
	api := http.NewServeMux()
	handle := func(pattern string, e kitendpoint.Endpoint, dec kithttp.DecodeRequestFunc, enc kithttp.EncodeResponseFunc) {
		h := kithttp.NewServer(s.logFailures(pattern)(e), dec, enc, kithttp.ServerErrorEncoder(writeError))
		api.Handle(pattern, s.countRequests(pattern, h))
	}
	handle("GET /configuration", s.configuration, decodeNothing, encodeConfiguration)
	handle("PUT /configuration", s.submit, s.decodeSubmission, kithttp.EncodeJSONResponse)
	handle("GET /keys", s.keys, decodeNothing, kithttp.EncodeJSONResponse)
	handle("POST /keys", s.grant, decodeGrant, kithttp.EncodeJSONResponse)
	handle("DELETE /keys/{id}", s.revoke, decodeRevocation, kithttp.EncodeJSONResponse)
	handle("GET /status", s.status, decodeNothing, kithttp.EncodeJSONResponse)
	handle("GET /members", s.members, decodeNothing, kithttp.EncodeJSONResponse)
	handle("POST /members", s.changeMember, decodeMemberChange, kithttp.EncodeJSONResponse)
	handle("GET /instances", s.instances, decodeNothing, kithttp.EncodeJSONResponse)
	handle("POST /instances", s.change, decodeChange[InstanceChange], kithttp.EncodeJSONResponse)
	handle("GET /waves", s.waves, decodeNothing, kithttp.EncodeJSONResponse)
	handle("POST /waves", s.change, decodeChange[WaveChange], kithttp.EncodeJSONResponse)
	handle("GET /jobs", s.jobs, decodeJobQuery, kithttp.EncodeJSONResponse)
	handle("GET /jobs/{team}/{job}", s.job, decodeJobQuery, kithttp.EncodeJSONResponse)
	handle("POST /jobs", s.change, decodeChange[JobChange], kithttp.EncodeJSONResponse)
	handle("GET /quotas", s.quotas, decodeQuotaQuery, kithttp.EncodeJSONResponse)
	handle("GET /timeline", s.timeline, decodeNothing, encodeStream("application/jsonl"))
	handle("GET /metrics", s.metrics, decodeNothing, encodeStream("text/plain; version=0.0.4"))
	api.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(r.Context(), newError(http.StatusNotFound, KindNotFound,
			"no such path or method: "+r.Method+" "+r.URL.Path), w)
	})
	root := http.NewServeMux()
	root.Handle("/", s.authenticate(api))
	root.Handle("GET /-/live", kithttp.NewServer(s.live, decodeNothing, kithttp.EncodeJSONResponse))
	root.Handle("GET /-/ready",
		kithttp.NewServer(s.ready, decodeNothing, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(writeError)))
	return root
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// countRequests wraps a handler to count its requests by status.
func (s *Server) countRequests(route string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(rec, r)
		s.countRequest(route, rec.status)
	})
}

func decodeNothing(context.Context, *http.Request) (any, error) { return nil, nil }

func operationID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderOperationID)
	if !validToken(id) {
		return "", newError(http.StatusBadRequest, KindMalformed, "send an operation ID of 1 to 64 letters, digits, dots, "+
			"hyphens or underscores in the header "+HeaderOperationID)
	}
	return id, nil
}

// validToken reports whether an identifier is short and of safe characters only, because identifiers are written to the
// replicated state and to logs.
func validToken(id string) bool {
	for _, ch := range []byte(id) {
		switch {
		case ch >= 'a' && ch <= 'z', ch >= 'A' && ch <= 'Z', ch >= '0' && ch <= '9', ch == '.', ch == '-', ch == '_':
		default:
			return false
		}
	}
	return id != "" && len(id) <= 64
}

// readBody reads a body of at most limit bytes. asError converts what the limits of the process reject.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	data, err := inbound.ReadBody(nil, r, limit)
	if status, _ := inbound.Status(err); err != nil && status == http.StatusBadRequest {
		return nil, newError(http.StatusBadRequest, KindMalformed, "read body: "+err.Error())
	}
	return data, err
}

func decodeJSON(r *http.Request, v any) error {
	data, err := readBody(r, maxBodyBytes)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return newError(http.StatusBadRequest, KindMalformed, "decode body: "+err.Error())
	}
	if _, err := dec.Token(); err != io.EOF {
		return newError(http.StatusBadRequest, KindMalformed, "decode body: data after the object")
	}
	return nil
}

// submission is a decoded PUT /configuration.
type submission struct {
	operationID string
	base        uint64
	// digest is the hash of the body as received. The printed document is no substitute: its form depends on the release
	// of the process, and a resend may reach a process of another release.
	digest [sha256.Size]byte
	// document is the configuration in its canonical form.
	document    []byte
	waitInForce bool
}

func (s *Server) decodeSubmission(_ context.Context, r *http.Request) (any, error) {
	id, err := operationID(r)
	if err != nil {
		return nil, err
	}
	base, err := strconv.ParseUint(r.Header.Get(HeaderBaseVersion), 10, 64)
	if err != nil {
		return nil, newError(http.StatusBadRequest, KindMalformed,
			"send the version that the document replaces, 0 for the first one, in the header "+HeaderBaseVersion)
	}
	wait := r.URL.Query().Get("wait")
	if wait != "" && wait != "in-force" {
		return nil, newError(http.StatusBadRequest, KindMalformed, "wait must be in-force or left out")
	}
	data, err := readBody(r, configuration.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	// A slot is taken once the body is there, so that slow senders don't keep others from submitting.
	select {
	case s.submissionSlots <- struct{}{}:
		defer func() { <-s.submissionSlots }()
	default:
		return nil, newError(http.StatusServiceUnavailable, KindUnavailable,
			"other submissions are being checked; resend with the same operation ID")
	}
	if err := inbound.HoldObjects(r, data, math.MaxInt); err != nil {
		return nil, err
	}
	cfg, err := fleet.Parse(data)
	if err != nil {
		return nil, newError(http.StatusBadRequest, KindMalformed, err.Error())
	}
	if faults := cfg.Check(); len(faults) > 0 {
		return nil, &Error{
			Status: http.StatusUnprocessableEntity, Kind: KindInvalid, Message: "the configuration has faults", Faults: faults,
		}
	}
	document, err := cfg.Print()
	if err != nil {
		return nil, errorx.Decorate(err, "print configuration")
	}
	return submission{
		operationID: id, base: base, digest: sha256.Sum256(data), document: document, waitInForce: wait != "",
	}, nil
}

type grantRequest struct {
	operationID string
	grant       Grant
}

func decodeGrant(_ context.Context, r *http.Request) (any, error) {
	id, err := operationID(r)
	if err != nil {
		return nil, err
	}
	req := grantRequest{operationID: id}
	if err := decodeJSON(r, &req.grant); err != nil {
		return nil, err
	}
	if !validToken(req.grant.ID) || !fleet.ValidName(req.grant.Team) || len(req.grant.Hash) != 32 {
		return nil, newError(http.StatusBadRequest, KindMalformed,
			"a grant needs the key's id, the name of its team, and the SHA-256 of its secret as base64")
	}
	return req, nil
}

type revocation struct{ operationID, key string }

func decodeRevocation(_ context.Context, r *http.Request) (any, error) {
	id, err := operationID(r)
	if err != nil {
		return nil, err
	}
	key := r.PathValue("id")
	if !validToken(key) {
		return nil, newError(http.StatusBadRequest, KindMalformed, "malformed key identifier")
	}
	return revocation{operationID: id, key: key}, nil
}

func decodeMemberChange(_ context.Context, r *http.Request) (any, error) {
	id, err := operationID(r)
	if err != nil {
		return nil, err
	}
	ch := MemberChange{}
	if err := decodeJSON(r, &ch); err != nil {
		return nil, err
	}
	ch.OperationID = id
	return ch, ch.check()
}

type document struct {
	version uint64
	data    []byte
}

func encodeConfiguration(_ context.Context, w http.ResponseWriter, response any) error {
	d, _ := response.(document)
	w.Header().Set(HeaderVersion, strconv.FormatUint(d.version, 10))
	if d.version == 0 {
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(d.data)
	return err
}

// stream writes a response body of unknown length.
type stream func(w io.Writer) error

func encodeStream(contentType string) kithttp.EncodeResponseFunc {
	return func(_ context.Context, w http.ResponseWriter, response any) error {
		write, _ := response.(stream)
		w.Header().Set("Content-Type", contentType)
		if err := write(w); err != nil {
			// Part of the body may have been sent. Aborting the connection lets the client detect the truncation.
			panic(http.ErrAbortHandler)
		}
		return nil
	}
}
