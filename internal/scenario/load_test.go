package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
)

const responseSize = 64

// response is the result of one attempt to send a request.
type response struct {
	id, method, process string
	status              int
	outcome, reason     string
	err                 error // the response is incomplete or wrong
	sent                time.Time
	ran                 int // runs of the identifier when the response arrived
}

func (a response) String() string {
	return fmt.Sprintf("%s %s at %s: status %d, outcome %q, reason %q, error %v", a.method, a.id, a.process, a.status,
		a.outcome, a.reason, a.err)
}

var callerClient = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// send sends a request with the key of the team; the query overrides the behavior of the endpoint.
func (w *world) send(p *process, method, team, id, query string) response {
	secret, _ := w.key(team)
	return w.sendKey(p, method, team, id, query, secret.String())
}

func (w *world) sendKey(p *process, method, team, id, query, presented string) response {
	a := response{id: id, method: method, process: p.name, sent: time.Now()}
	u := url.URL{Scheme: "http", Host: p.ip + ":9400", Path: "/queues/plates/" + team, RawQuery: query}
	req, err := http.NewRequestWithContext(context.Background(), method, u.String(), strings.NewReader("plate"))
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set("Hibiscusroute-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+presented)
	resp, err := callerClient.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.status, a.outcome, a.err = resp.StatusCode, resp.Header.Get("Hibiscusroute-Outcome"), err
	a.ran = w.recorder.runCount(id)
	if a.status != http.StatusOK {
		var r caller.Rejection
		if a.err == nil {
			a.err = json.Unmarshal(body, &r)
		}
		a.reason = r.Reason
		return a
	}
	size := responseSize
	if text := req.URL.Query().Get("size"); text != "" {
		_, _ = fmt.Sscan(text, &size)
	}
	if a.err == nil && !bytes.Equal(body, standin.Content(id, size)) {
		a.err = errWrongResponse
	}
	return a
}

var errWrongResponse = errors.New("I6: the body is not the complete response to this request")

// load sends requests of all teams that have a key until it is stopped.
type load struct {
	w      *world
	cancel context.CancelFunc
	group  sync.WaitGroup
	ready  atomic.Pointer[[]*process]

	mu        sync.Mutex
	responses []response
}

// startLoad starts workers that send requests to those of the processes that are ready.
func (w *world) startLoad(targets []*process, workers int, query string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{w: w, cancel: cancel}
	w.load = l
	l.ready.Store(&[]*process{})
	l.group.Go(func() { l.checkReadiness(ctx, targets) })
	var teams []string
	for team := range upperLimits {
		if _, ok := w.key(team); ok {
			teams = append(teams, team)
		}
	}
	for i := range workers {
		l.group.Go(func() {
			for ctx.Err() == nil {
				l.sendOne(ctx, teams[i%len(teams)], query)
			}
		})
	}
}

// checkReadiness checks the readiness of the processes every 100 ms, as a load balancer does.
func (l *load) checkReadiness(ctx context.Context, targets []*process) {
	for ctx.Err() == nil {
		ready := make([]bool, len(targets))
		var group sync.WaitGroup
		for i, p := range targets {
			group.Go(func() { ready[i] = p.ready() })
		}
		group.Wait()
		var up []*process
		for i, p := range targets {
			if ready[i] {
				up = append(up, p)
			}
		}
		l.ready.Store(&up)
		pause(ctx, 100*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendOne sends one request. A non-idempotent request is resent with the same identifier up to two times: always
// after a failure, and sometimes after a success.
func (l *load) sendOne(ctx context.Context, team, query string) {
	method := http.MethodPost
	if rand.IntN(3) == 0 {
		method = http.MethodGet
	}
	id := newID()
	for try := 0; try < 3; try++ {
		up := *l.ready.Load()
		if len(up) == 0 {
			pause(ctx, 20*time.Millisecond)
			return
		}
		a := l.w.send(up[rand.IntN(len(up))], method, team, id, query)
		l.mu.Lock()
		l.responses = append(l.responses, a)
		l.mu.Unlock()
		if method == http.MethodGet || a.status == http.StatusOK && rand.IntN(4) > 0 {
			return
		}
		pause(ctx, 20*time.Millisecond)
	}
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// count returns the number of matching responses so far.
func (l *load) count(match func(a response) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.responses {
		if match(a) {
			n++
		}
	}
	return n
}

func served(a response) bool  { return a.err == nil && a.status == http.StatusOK }
func aborted(a response) bool { return a.err != nil }

// check compares all responses with the runs at the endpoints.
func (l *load) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults := []error{l.w.recorder.check()}
	ok := map[string]int{}
	ran := map[string]bool{} // may have run: a response was lost, or it was not a not-run response
	for _, a := range l.responses {
		switch {
		case errors.Is(a.err, errWrongResponse):
			faults = append(faults, fmt.Errorf("%v", a))
		case served(a):
			ok[a.id]++
			ran[a.id] = true
		case a.err != nil || a.outcome != "not-run":
			ran[a.id] = true
		case !ran[a.id] && a.ran > 0:
			faults = append(faults, fmt.Errorf("I7: %v, but it ran %d times", a, a.ran))
		}
	}
	for _, a := range l.responses {
		n := l.w.recorder.runCount(a.id)
		if !ran[a.id] && n > 0 {
			faults = append(faults, fmt.Errorf("I7: %v, but it had run %d times at the end", a, n))
		}
		if a.method == http.MethodPost && (ok[a.id] > 1 || ok[a.id] == 1 && n != 1) {
			faults = append(faults, fmt.Errorf("I8: %v: it succeeded %d times and ran %d times", a, ok[a.id], n))
		}
		if a.status != http.StatusOK && a.err == nil && a.outcome != "not-run" && a.outcome != "unknown" {
			faults = append(faults, fmt.Errorf("I7: no outcome: %v", a))
		}
	}
	return errors.Join(faults...)
}

// summary returns the number of responses by status and reason.
func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	kinds := map[string]int{}
	for _, a := range l.responses {
		kind := fmt.Sprintf("%d %s", a.status, a.reason)
		if a.err != nil {
			kind = "aborted"
		}
		kinds[kind]++
	}
	return fmt.Sprintf("%d responses: %v", len(l.responses), kinds)
}
