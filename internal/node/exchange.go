package node

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
	"github.com/hibiscusroute/hibiscusroute/internal/member/memberpb"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

const (
	announcementsKind = "announcements"
	// exchangeQueueSize bounds the pending updates for one process. On overflow the stream is reopened and starts with a
	// full update.
	exchangeQueueSize = 256
	// exchangeInterval is the time between two checks of the list of processes, and the delay before a lost stream is
	// reopened.
	exchangeInterval = 500 * time.Millisecond
)

// exchange sends the announcements of endpoints to the other processes, over one stream to each.
type exchange struct {
	registry    *endpoint.Registry
	openStream  func(ctx context.Context, address, kind string) (*peer.Stream, error)
	members     func() []*memberpb.Member
	selfAddress string // peer address

	mu    sync.Mutex
	links map[string]*exchangeLink // by peer address
}

type exchangeLink struct {
	cancel context.CancelFunc
	// queue is nil while the stream is not open; a full queue ends the stream.
	queue     chan *endpointpb.Update
	endStream context.CancelFunc
}

func newExchange(n *Node) *exchange {
	return &exchange{
		registry: n.registry, openStream: n.transport.Open, members: n.follower.Members, selfAddress: n.transport.Address(),
		links: map[string]*exchangeLink{},
	}
}

// run maintains a stream to each other process until ctx is done.
func (x *exchange) run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		x.connect(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// connect starts streams to processes that joined and ends the streams to processes that left or expired.
func (x *exchange) connect(ctx context.Context) {
	current := map[string]bool{}
	for _, m := range x.members() {
		if !m.Expired && m.PeerAddress != x.selfAddress {
			current[m.PeerAddress] = true
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, l := range x.links {
		if !current[address] {
			l.cancel()
			delete(x.links, address)
		}
	}
	for address := range current {
		if _, ok := x.links[address]; !ok {
			lctx, cancel := context.WithCancel(ctx)
			l := &exchangeLink{cancel: cancel}
			x.links[address] = l
			go x.maintainStream(lctx, address, l)
		}
	}
}

func (x *exchange) maintainStream(ctx context.Context, address string, l *exchangeLink) {
	for ctx.Err() == nil {
		x.sendUpdates(ctx, address, l)
		select {
		case <-ctx.Done():
		case <-time.After(exchangeInterval):
		}
	}
}

func (x *exchange) sendUpdates(ctx context.Context, address string, l *exchangeLink) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := x.openStream(ctx, address, announcementsKind)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }() // the stream has failed or is no longer needed
	queue := make(chan *endpointpb.Update, exchangeQueueSize)
	x.mu.Lock()
	l.queue, l.endStream = queue, cancel
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		l.queue = nil
	}()
	// The queue is registered first, so that no change after the full update is missed.
	if err := s.Send(x.registry.FullUpdate()); err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-queue:
			if err := s.Send(u); err != nil {
				return
			}
		}
	}
}

// broadcast queues an update for every connected process without blocking.
func (x *exchange) broadcast(u *endpointpb.Update) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.links {
		if l.queue == nil {
			continue
		}
		select {
		case l.queue <- u:
		default:
			l.endStream()
			l.queue = nil
		}
	}
}

// receiveUpdates passes the updates of another process to the registry.
func (x *exchange) receiveUpdates(_ context.Context, from string, s *peer.Stream) error {
	for {
		u := &endpointpb.Update{}
		if err := s.Receive(u); err != nil {
			return err
		}
		x.registry.ReceiveUpdate(from, u)
	}
}
