package control

import (
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kernelpb"
)

func encodeCommand(c kernel.Command, at time.Time) *kernelpb.Command {
	return &kernelpb.Command{Plugin: c.Plugin, Id: c.ID, At: at.UnixNano(), Body: c.Body}
}

func decodeCommand(data []byte) (kernel.Command, error) {
	m := &kernelpb.Command{}
	if err := proto.Unmarshal(data, m); err != nil {
		return kernel.Command{}, errorx.Decorate(err, "decode command")
	}
	return CommandFromProto(m), nil
}

// CommandFromProto converts a protobuf message into the command that it encodes.
func CommandFromProto(m *kernelpb.Command) kernel.Command {
	return kernel.Command{Plugin: m.Plugin, ID: m.Id, At: time.Duration(m.At), Body: m.Body}
}
