package control

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

const (
	raftKind = "raft"
	// sendQueueSize bounds the messages that wait for one member; older ones are of no use to it, so new ones are dropped.
	sendQueueSize = 256
)

// sender sends messages of the replicated log, with one goroutine and one stream for each member.
type sender struct {
	transport *peer.Transport
	log       logr.Logger
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	queues map[string]chan *raftpb.Message // by address
	// reportedAddresses holds the addresses that members gave in their messages; a new learner knows no other.
	reportedAddresses map[string]string
}

func newSender(t *peer.Transport, log logr.Logger) *sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &sender{
		transport: t, log: log, ctx: ctx, cancel: cancel,
		queues: map[string]chan *raftpb.Message{}, reportedAddresses: map[string]string{},
	}
}

func (s *sender) close() { s.cancel() }

func (s *sender) recordAddress(id, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedAddresses[id] = address
}

func (s *sender) send(m *raftpb.Message, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address == "" {
		address = s.reportedAddresses[m.To]
	}
	if address == "" || s.ctx.Err() != nil {
		return
	}
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan *raftpb.Message, sendQueueSize)
		s.queues[address] = queue
		go s.run(address, queue)
	}
	select {
	case queue <- m:
	default: // the replicated log tolerates lost messages
	}
}

func (s *sender) run(address string, queue chan *raftpb.Message) {
	var stream *peer.Stream
	for {
		select {
		case <-s.ctx.Done():
			if stream != nil {
				_ = stream.Close() // it is given up
			}
			return
		case m := <-queue:
			if stream == nil {
				var err error
				if stream, err = s.transport.Open(s.ctx, address, raftKind); err != nil {
					s.log.V(1).Info("member is unreachable", "address", address, "reason", err.Error())
					continue
				}
			}
			if err := stream.Send(m); err != nil {
				s.log.V(1).Info("stream to member ended", "address", address, "reason", err.Error())
				_ = stream.Close() // it is given up
				stream = nil
			}
		}
	}
}
