package follower

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

// answer is the response of a voter to one attempt.
type answer struct {
	address string
	resp    *controlpb.ProposeResponse
	err     error
}

var (
	errNoAnswer = peer.ErrInterrupted.New("no answer")
	errNotSent  = peer.ErrUnreachable.New("refused")
)

func led(term uint64, confirmed bool) *controlpb.ProposeResponse {
	return &controlpb.ProposeResponse{Term: term, Confirmed: confirmed}
}

// Guards against a call that passes for one that may have been accepted although its attempts can't be any more, which its
// caller may not repeat then, and against one that passes for rejected although an attempt may still be accepted.
func TestAttemptsAreExcludedByLaterLeader(t *testing.T) {
	for _, tt := range []struct {
		name string
		// earlier is the answer to an earlier call, which tells the client a term; nil if there was none.
		earlier  *controlpb.ProposeResponse
		answers  []answer
		repeated bool
		bounds   []uint64 // MaxTerm of the attempts
	}{
		{"later-leader", led(5, true), []answer{{"a", nil, errNoAnswer}, {"b", led(7, true), nil}}, false, []uint64{5, 0}},
		{"later-leader-that-answers-before-it-looks-for-the-command", led(5, true), []answer{
			{"a", nil, errNoAnswer}, {"b", &controlpb.ProposeResponse{Term: 7, Confirmed: true, Body: []byte("no queue")}, nil},
		}, true, nil},
		{"later-leader-that-was-not-confirmed", led(5, true), []answer{{"a", nil, errNoAnswer}, {"b", led(7, false), nil}}, true, nil},
		{"same-leader", led(5, true), []answer{{"a", nil, errNoAnswer}, {"b", led(5, true), nil}}, true, nil},
		{"term-not-known", nil, []answer{{"a", nil, errNoAnswer}, {"b", led(7, true), nil}}, true, []uint64{0, 0}},
		{"earlier-version", led(0, false), []answer{{"a", nil, errNoAnswer}, {"b", led(7, true), nil}}, true, []uint64{0, 0}},
		{"bound-too-low", led(5, true), []answer{
			{"a", &controlpb.ProposeResponse{LaterTerm: true, Term: 9}, nil}, {"a", nil, errNoAnswer}, {"b", led(9, true), nil},
		}, true, []uint64{5, 9, 0}},
		{"two-attempts", led(5, true), []answer{{"a", nil, errNoAnswer}, {"b", nil, errNoAnswer}, {"a", led(9, true), nil}}, true,
			[]uint64{5, 0, 5}},
		{"not-sent", led(5, true), []answer{{"a", nil, errNotSent}, {"b", led(5, true), nil}}, false, nil},
		{"redirected", led(5, true), []answer{
			{"a", &controlpb.ProposeResponse{Term: 6, Redirect: &controlpb.Redirect{Leader: "b"}}, nil}, {"b", led(6, true), nil},
		}, false, []uint64{5, 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var answers []answer
			var bounds []uint64
			c := NewClient(ClientConfig{
				Voters: []string{"a", "b"}, TellsOutcome: func(result []byte) bool { return string(result) != "no queue" },
				Call: func(_ context.Context, address, _ string, req, resp proto.Message) error {
					next := answers[0]
					answers = answers[1:]
					assert.Equal(t, address, next.address)
					bounds = append(bounds, req.(*controlpb.ProposeRequest).MaxTerm)
					if next.err == nil {
						proto.Merge(resp, next.resp)
					}
					return next.err
				},
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if tt.earlier != nil {
				answers = []answer{{"a", tt.earlier, nil}}
				_, _, err := c.ProposeIdempotent(ctx, newCommand(""))
				assert.NilError(t, err)
			}
			answers, bounds = tt.answers, nil
			_, repeated, err := c.ProposeIdempotent(ctx, newCommand(""))
			assert.NilError(t, err)
			assert.Equal(t, repeated, tt.repeated)
			if tt.bounds != nil {
				assert.DeepEqual(t, bounds, tt.bounds)
			}
		})
	}
}
