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
	// sendQueueSize bounds the messages that wait for one member, because old messages are of no use to it. When the queue
	// is full, new messages are dropped.
	sendQueueSize = 256
)

// sender sends messages of the replicated log. It uses one goroutine and one stream per address.
type sender struct {
	transport *peer.Transport
	log       logr.Logger
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	queues map[string]chan *raftpb.Message // by address
	// reportedAddresses maps the identity of a member to the address in its messages. A new learner has no member list
	// yet and knows addresses only from here.
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
	default: // The replicated log tolerates lost messages.
	}
}

func (s *sender) run(address string, queue chan *raftpb.Message) {
	var stream *peer.Stream
	for {
		select {
		case <-s.ctx.Done():
			if stream != nil {
				_ = stream.Close() // The stream is not used again.
			}
			return
		case m := <-queue:
			if stream == nil {
				var err error
				if stream, err = s.transport.Open(s.ctx, address, raftKind); err != nil {
					s.log.V(1).Info("cannot open a stream to the member", "address", address, "reason", err.Error())
					continue
				}
			}
			if err := stream.Send(m); err != nil {
				s.log.V(1).Info("cannot send to the member; closing the stream", "address", address, "reason", err.Error())
				_ = stream.Close() // The stream is not used again.
				stream = nil
			}
		}
	}
}
