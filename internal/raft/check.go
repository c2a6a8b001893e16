package raft

import (
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// maxTermOrIndex limits terms and indexes, so that additions never overflow.
const maxTermOrIndex = 1 << 62

// checkMessage rejects malformed messages, so that the rest of the core can rely on their structure.
func checkMessage(m *raftpb.Message) error {
	if m.Term == 0 || m.Term > maxTermOrIndex || m.LogIndex > maxTermOrIndex {
		return ErrInvalid.New("message from %q has a term or position out of range", m.From)
	}
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND:
		return checkEntries(m)
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		s := m.Snapshot
		if s == nil || s.Index == 0 || s.Index > maxTermOrIndex || s.Term == 0 || s.Term > m.Term || len(s.Members) == 0 ||
			m.Size > maxSnapshotBytes || len(m.Data) > maxChunkBytes || m.Offset > m.Size ||
			uint64(len(m.Data)) > m.Size-m.Offset {
			return ErrInvalid.New("snapshot message from %q is malformed", m.From)
		}
	}
	if m.Type <= raftpb.MessageType_MESSAGE_TYPE_UNSPECIFIED || m.Type > raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW {
		return ErrInvalid.New("message from %q has the unknown type %d", m.From, m.Type)
	}
	return nil
}

func checkEntries(m *raftpb.Message) error {
	index, term := m.LogIndex, m.LogTerm
	if term > m.Term {
		return ErrInvalid.New("append from %q in term %d follows a later term", m.From, m.Term)
	}
	for _, e := range m.Entries {
		if e.GetIndex() != index+1 || e.Term == 0 || e.Term < term || e.Term > m.Term {
			return ErrInvalid.New("entry %d of term %d from %q is out of order", e.GetIndex(), e.GetTerm(), m.From)
		}
		if err := checkEntry(e); err != nil {
			return err
		}
		index, term = e.Index, e.Term
	}
	return nil
}

func checkEntry(e *raftpb.Entry) error {
	switch e.Type {
	case raftpb.EntryType_ENTRY_TYPE_EMPTY, raftpb.EntryType_ENTRY_TYPE_COMMAND:
		return nil
	case raftpb.EntryType_ENTRY_TYPE_MEMBER_CHANGE:
		ch := &raftpb.MemberChange{}
		if err := proto.Unmarshal(e.Data, ch); err != nil {
			return ErrInvalid.Wrap(err, "decode membership change in entry %d", e.Index)
		}
		if ch.GetMember().GetId() == "" {
			return ErrInvalid.New("membership change in entry %d names no member", e.Index)
		}
		return nil
	}
	return ErrInvalid.New("entry %d has the unknown type %d", e.Index, e.Type)
}
