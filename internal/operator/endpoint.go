package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitendpoint "github.com/go-kit/kit/endpoint"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// logFailures returns a middleware that logs failed requests without the faults of documents, which the response
// carries.
func (s *Server) logFailures(route string) kitendpoint.Middleware {
	return func(next kitendpoint.Endpoint) kitendpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			if err != nil {
				e := asError(err)
				s.cfg.Log.Info("operator request failed", "route", route, "status", e.Status, "message", e.Message)
			}
			return response, err
		}
	}
}

// commandID returns the operation ID with a digest of the content appended. An operation ID that is reused with other
// content is therefore another command and never gets the result of the first one.
func commandID(id string, content ...[]byte) string {
	h := sha256.New()
	for _, part := range content {
		// The length prefix makes the boundaries of the parts unambiguous.
		h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		h.Write([]byte{0})
		h.Write(part)
	}
	return id + "." + hex.EncodeToString(h.Sum(nil)[:8])
}

// propose commits and applies a command. An error of Config.Propose means that the outcome is unknown; it is reported
// as status 504.
func (s *Server) propose(ctx context.Context, id string, c kernel.Command) (kernel.Result, error) {
	if len(c.Body) > maxCommandBytes {
		return kernel.Result{}, newError(http.StatusRequestEntityTooLarge, KindTooLarge,
			"the change has "+strconv.Itoa(len(c.Body))+" bytes when compressed; at most "+
				strconv.Itoa(maxCommandBytes)+" are allowed")
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProposeTimeout)
	defer cancel()
	r, err := s.cfg.Propose(ctx, c)
	if err != nil {
		s.cfg.Log.Error(err, "outcome of a change is unknown", "operation", id, "plugin", c.Plugin)
		return kernel.Result{}, outcomeUnknownError(id)
	}
	if r.Err != nil {
		return kernel.Result{}, commandError(r.Err)
	}
	s.cfg.Log.Info("change applied", "operation", id, "plugin", c.Plugin, "index", r.Index)
	return r, nil
}

func (s *Server) query(ctx context.Context, plugin string, req []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProposeTimeout)
	defer cancel()
	body, err := s.cfg.Query(ctx, plugin, req)
	if err != nil {
		return nil, unavailableError(plugin, err)
	}
	return body, nil
}

func (s *Server) configuration(ctx context.Context, _ any) (any, error) {
	body, err := s.query(ctx, configuration.Name, nil)
	if err != nil {
		return nil, err
	}
	version, data, err := configuration.DecodeState(body)
	if err != nil {
		return nil, err
	}
	return document{version: version, data: data}, nil
}

func (s *Server) submit(ctx context.Context, request any) (any, error) {
	sub, _ := request.(submission)
	if sub.waitInForce && s.cfg.WaitInForce == nil {
		return nil, unsupportedError("wait=in-force")
	}
	id := commandID(sub.operationID, strconv.AppendUint(nil, sub.base, 10), sub.digest[:])
	c, err := configuration.SubmitCommand(id, sub.base, sub.document)
	if err != nil {
		return nil, newError(http.StatusRequestEntityTooLarge, KindTooLarge, err.Error())
	}
	r, err := s.propose(ctx, sub.operationID, c)
	if err != nil {
		return nil, s.submitError(ctx, err)
	}
	version, err := configuration.DecodeAccepted(r.Body)
	if err != nil {
		return nil, err
	}
	accepted := Accepted{Version: version}
	if sub.waitInForce {
		s.waitInForce(ctx, &accepted)
	}
	return accepted, nil
}

// submitError adds the newest version to a conflict, and the list of faults to a rejection by the replicas. These may
// find faults that this process doesn't, because they may run another release.
func (s *Server) submitError(ctx context.Context, err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	switch e.Kind {
	case KindInvalid:
		e.Faults = parseFaults(e.Message)
		e.Message = "the configuration has faults"
	case KindConflict:
		body, err := s.query(ctx, configuration.Name, nil)
		if err != nil {
			s.cfg.Log.Error(err, "failed to read the newest version for the response to a conflict")
			return e
		}
		version, _, err := configuration.DecodeState(body)
		if err != nil {
			return err
		}
		e.NewestVersion = &version
		e.Message = "another submission was accepted first; the newest accepted version is " +
			strconv.FormatUint(version, 10) + ": compare with it and submit again with it as the base version"
	}
	return e
}

// waitInForce waits until the accepted version is in force. A failed wait is reported in a.InForceError and not as an
// error, because the version is accepted either way.
func (s *Server) waitInForce(ctx context.Context, a *Accepted) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.InForceTimeout)
	defer cancel()
	took, err := s.cfg.WaitInForce(ctx, a.Version)
	if err != nil {
		s.cfg.Log.Error(err, "failed to wait until the version is in force", "version", a.Version)
		a.InForceError = err.Error()
		return
	}
	ms := took.Milliseconds()
	a.InForceMs = &ms
	s.cfg.Metrics.GetOrCreateHistogram("hibiscusroute_operator_in_force_seconds").Update(took.Seconds())
}

func (s *Server) keys(ctx context.Context, _ any) (any, error) {
	body, err := s.query(ctx, key.Name, nil)
	if err != nil {
		return nil, err
	}
	state, err := key.DecodeState(body)
	if err != nil {
		return nil, err
	}
	list := make([]Key, 0, len(state))
	for _, k := range state {
		item := Key{ID: k.Id, Team: k.Team, GrantedAt: unixTime(k.GrantedAt)}
		if k.Revoked {
			at := unixTime(k.RevokedAt)
			item.RevokedAt = &at
		}
		list = append(list, item)
	}
	return list, nil
}

// unixTime converts nanoseconds since the Unix epoch to a time in UTC.
func unixTime(ns int64) time.Time { return time.Unix(0, ns).UTC() }

func (s *Server) grant(ctx context.Context, request any) (any, error) {
	req, _ := request.(grantRequest)
	g := req.grant
	id := commandID(req.operationID, []byte(g.ID), []byte(g.Team), g.Hash)
	c, err := key.GrantHashCommand(id, g.Team, g.ID, g.Hash)
	if err != nil {
		return nil, err
	}
	if _, err := s.propose(ctx, req.operationID, c); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

func (s *Server) revoke(ctx context.Context, request any) (any, error) {
	req, _ := request.(revocation)
	c, err := key.RevokeCommand(commandID(req.operationID, []byte(req.key)), req.key)
	if err != nil {
		return nil, err
	}
	if _, err := s.propose(ctx, req.operationID, c); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

func unsupportedError(what string) error {
	return newError(http.StatusNotImplemented, KindUnsupported, "this process doesn't serve "+what)
}

func (s *Server) status(ctx context.Context, _ any) (any, error) {
	if s.cfg.Status == nil {
		return nil, unsupportedError("status")
	}
	status, err := s.cfg.Status(ctx)
	if err != nil {
		return nil, unavailableError("status", err)
	}
	return status, nil
}

func (s *Server) members(ctx context.Context, _ any) (any, error) {
	if s.cfg.Members == nil {
		return nil, unsupportedError("members")
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProposeTimeout)
	defer cancel()
	list, err := s.cfg.Members(ctx)
	if err != nil {
		return nil, unavailableError("list of members", err)
	}
	return append([]Member{}, list...), nil
}

func (s *Server) changeMember(ctx context.Context, request any) (any, error) {
	if s.cfg.ChangeMember == nil {
		return nil, unsupportedError("member changes")
	}
	ch, _ := request.(MemberChange)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProposeTimeout)
	defer cancel()
	if err := s.cfg.ChangeMember(ctx, ch); isCommandError(err) {
		return nil, commandError(err)
	} else if err != nil {
		s.cfg.Log.Error(err, "outcome of a member change is unknown", "operation", ch.OperationID)
		return nil, outcomeUnknownError(ch.OperationID)
	}
	s.cfg.Log.Info("member changed", "operation", ch.OperationID, "action", ch.Action, "identity", ch.Identity)
	return struct{}{}, nil
}

// check returns an error that lists the missing and malformed fields of the change.
func (ch *MemberChange) check() error {
	var faults []fleet.Fault
	require := func(path string, ok bool, message string) {
		if !ok {
			faults = append(faults, fleet.Fault{Path: path, Message: message})
		}
	}
	require("identity", validToken(ch.Identity), "must be the identity of the member")
	switch ch.Action {
	case AddMember, ReplaceMember:
		require("name", fleet.ValidName(ch.Name), "must be the name of the process in kebab case")
		require("availability-zone", fleet.ValidName(ch.AvailabilityZone), "must be the name of an availability zone")
		host, _, err := net.SplitHostPort(ch.Address)
		require("address", err == nil && net.ParseIP(host) != nil, "must be the IP address and port of the peer listener")
		if ch.Action == ReplaceMember {
			require("replaces", validToken(ch.Replaces) && ch.Replaces != ch.Identity, "must be the identity that is removed")
		}
	case PromoteMember, RemoveMember:
	default:
		require("action", false, "must be add, promote, remove or replace")
	}
	if len(faults) == 0 {
		return nil
	}
	return &Error{
		Status: http.StatusUnprocessableEntity, Kind: KindInvalid, Message: "the member change has faults", Faults: faults,
	}
}

func (s *Server) timeline(ctx context.Context, _ any) (any, error) {
	if s.cfg.Timeline == nil {
		return nil, unsupportedError("the timeline")
	}
	return stream(func(w io.Writer) error { return s.cfg.Timeline(ctx, w) }), nil
}

func (s *Server) metrics(context.Context, any) (any, error) {
	return stream(func(w io.Writer) error {
		s.cfg.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		return nil
	}), nil
}

func (s *Server) live(context.Context, any) (any, error) { return struct{}{}, nil }

func (s *Server) ready(context.Context, any) (any, error) {
	if s.cfg.Ready != nil {
		if err := s.cfg.Ready(); err != nil {
			return nil, newError(http.StatusServiceUnavailable, KindUnavailable, "not ready: "+err.Error())
		}
	}
	return struct{}{}, nil
}
