package configuration

import (
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration/configurationpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Name is the plug-in name in commands and snapshots.
const Name = "configuration"

// State is the configuration in force; it is owned by the kernel's goroutine.
type State struct {
	version    uint64
	document   []byte
	acceptedAt time.Duration
	current    *fleet.Configuration
	onChange   []func()
}

func init() {
	kernel.Register(Name, nil, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	s := &State{current: &fleet.Configuration{Format: fleet.Format}}
	k.Provide(Name, s)
	return kernel.Plugin{
		InView:   true,
		Apply:    s.apply,
		Query:    func([]byte) ([]byte, error) { return s.encode() },
		Snapshot: s.encode,
		Restore:  s.restore,
	}
}

// Version returns the version in force, or 0 before the first submission.
func (s *State) Version() uint64 { return s.version }

// Current returns the configuration in force. It is replaced as a whole and must not be modified.
func (s *State) Current() *fleet.Configuration { return s.current }

// OnChange adds a function that is called on each replica after a command changed the configuration.
func (s *State) OnChange(f func()) { s.onChange = append(s.onChange, f) }

// SubmitCommand returns the command that replaces the configuration if base is the version in force.
func SubmitCommand(id string, base uint64, doc []byte) (kernel.Command, error) {
	packed, err := compress(doc)
	if err != nil {
		return kernel.Command{}, err
	}
	return kernel.NewCommand(Name, id, &configurationpb.Submit{Base: base, Document: packed})
}

// DecodeAccepted decodes the result of a successful submission into the version that it created.
func DecodeAccepted(body []byte) (uint64, error) {
	m := &configurationpb.Accepted{}
	if err := proto.Unmarshal(body, m); err != nil {
		return 0, errorx.Decorate(err, "decode answer to submission")
	}
	return m.Version, nil
}

// DecodeState decodes the answer to a query into the version and the JSON document, which is nil for version 0.
func DecodeState(body []byte) (version uint64, doc []byte, err error) {
	m := &configurationpb.State{}
	if err := proto.Unmarshal(body, m); err != nil {
		return 0, nil, errorx.Decorate(err, "decode configuration")
	}
	if m.Version == 0 {
		return 0, nil, nil
	}
	if doc, err = decompress(m.Document); err != nil {
		return 0, nil, err
	}
	return m.Version, doc, nil
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
	m := &configurationpb.Submit{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode submission: %v", err)
	}
	if m.Base != s.version {
		return nil, kernel.ErrConflict.New("base version %d is not in force; version %d is", m.Base, s.version)
	}
	cfg, err := parse(m.Document)
	if err != nil {
		return nil, kernel.ErrInvalid.New("%v", err)
	}
	if faults := cfg.Check(); len(faults) > 0 {
		return nil, kernel.ErrInvalid.New("%s", fleet.JoinFaults(faults))
	}
	s.version++
	s.document, s.current, s.acceptedAt = m.Document, cfg, c.At
	for _, f := range s.onChange {
		f()
	}
	return proto.Marshal(&configurationpb.Accepted{Version: s.version})
}

func (s *State) encode() ([]byte, error) {
	return proto.Marshal(&configurationpb.State{
		Version: s.version, Document: s.document, AcceptedAt: int64(s.acceptedAt),
	})
}

func (s *State) restore(data []byte) error {
	m := &configurationpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode configuration state")
	}
	if m.Version < s.version {
		return errorx.IllegalState.New("version %d is older than version %d", m.Version, s.version)
	}
	cfg := &fleet.Configuration{Format: fleet.Format}
	if m.Version > 0 {
		var err error
		if cfg, err = parse(m.Document); err != nil {
			return err
		}
	}
	s.version, s.document, s.acceptedAt, s.current = m.Version, m.Document, time.Duration(m.AcceptedAt), cfg
	return nil
}

func parse(packed []byte) (*fleet.Configuration, error) {
	doc, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	return fleet.Parse(doc)
}
