package ledger

import (
	"cmp"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// ErrInvalid is the type of errors about an invalid configuration.
var ErrInvalid = errorx.NewNamespace("workload").NewType("invalid")

// route is the host and the path prefix by which callers select a queue. The host is in lower case.
type route struct{ host, prefix string }

func routeOf(q *workloadpb.Queue) route { return route{strings.ToLower(q.Host), q.Prefix} }

// CheckDocument validates a configuration and returns the first error found.
func CheckDocument(d *workloadpb.Document) error {
	poolNames := map[string]bool{}
	for _, p := range d.Pools {
		if p.Name == "" || poolNames[p.Name] {
			return ErrInvalid.New("pool %q has no name or is named twice", p.Name)
		}
		poolNames[p.Name] = true
	}
	routes := map[route]string{}
	queueNames := map[string]bool{}
	for _, q := range d.Queues {
		if q.Name == "" || queueNames[q.Name] {
			return ErrInvalid.New("queue %q has no name or is named twice", q.Name)
		}
		queueNames[q.Name] = true
		if !poolNames[q.Pool] {
			return ErrInvalid.New("queue %s names the unknown pool %q", q.Name, q.Pool)
		}
		r := routeOf(q)
		if other, ok := routes[r]; ok {
			return ErrInvalid.New("queues %s and %s have the same host and prefix", q.Name, other)
		}
		routes[r] = q.Name
	}
	accountNames := map[string]bool{}
	accountByKey := map[string]string{}
	for _, a := range d.Accounts {
		if a.Name == "" || accountNames[a.Name] {
			return ErrInvalid.New("client account %q has no name or is named twice", a.Name)
		}
		accountNames[a.Name] = true
		for _, k := range a.Keys {
			if other, ok := accountByKey[k]; ok && other != a.Name {
				return ErrInvalid.New("client accounts %s and %s share a key", a.Name, other)
			}
			accountByKey[k] = a.Name
		}
	}
	return nil
}

func (s *State) applyDocument(d *workloadpb.Document) {
	if s.document != nil && d.Version <= s.document.Version {
		return
	}
	s.setDocument(d)
	s.markChanged()
}

func (s *State) setDocument(d *workloadpb.Document) {
	s.document = d
	clear(s.queues)
	clear(s.queuesByRoute)
	clear(s.queuesByHost)
	clear(s.pools)
	clear(s.accounts)
	clear(s.accountsByKey)
	for _, q := range d.GetQueues() {
		s.queues[q.Name] = q
		r := routeOf(q)
		s.queuesByRoute[r] = q
		s.queuesByHost[r.host] = append(s.queuesByHost[r.host], q)
	}
	for _, list := range s.queuesByHost {
		slices.SortStableFunc(list, func(a, b *workloadpb.Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range d.GetPools() {
		s.pools[p.Name] = p
	}
	for _, a := range d.GetAccounts() {
		s.accounts[a.Name] = a
		for _, k := range a.Keys {
			s.accountsByKey[k] = a
		}
	}
	for _, j := range s.jobs {
		j.queue = s.findQueue(j.route, j.Queue)
	}
}

// Route returns the queue of a call and the name of the client account of its key. The path consists of the prefix of
// the queue and the ID of the job, if there is one. The verdict is VERDICT_DONE if the call is allowed.
func (s *State) Route(host, path, id, key string) (*workloadpb.Queue, string, workloadpb.Verdict) {
	if s.document == nil {
		return nil, "", workloadpb.Verdict_VERDICT_NOT_READY
	}
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	list := s.queuesByHost[strings.ToLower(host)]
	i := slices.IndexFunc(list, func(q *workloadpb.Queue) bool { return strings.HasPrefix(path, q.Prefix) })
	if i < 0 || list[i].Prefix != strings.TrimSuffix(path, id) {
		return nil, "", workloadpb.Verdict_VERDICT_NO_QUEUE
	}
	found := list[i]
	account := s.accountsByKey[key]
	if account == nil && !found.Public {
		return nil, "", workloadpb.Verdict_VERDICT_BAD_KEY
	}
	return found, account.GetName(), workloadpb.Verdict_VERDICT_DONE
}
