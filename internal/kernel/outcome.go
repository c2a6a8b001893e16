package kernel

import (
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kernelpb"
)

// outcomes stores the results of operations with an identifier, ordered from oldest to newest. It is replicated state.
type outcomes struct {
	limit int
	order []string
	byID  map[string]*kernelpb.Outcome
}

func newOutcomes(limit int) outcomes {
	return outcomes{limit: limit, byID: map[string]*kernelpb.Outcome{}}
}

func outcomeKey(plugin, id string) string { return plugin + "/" + id }

func (o *outcomes) get(plugin, id string) (Result, bool) {
	m, ok := o.byID[outcomeKey(plugin, id)]
	if !ok {
		return Result{}, false
	}
	r := Result{Index: m.Index, Body: m.Body}
	if m.ErrorKind != "" {
		r.Err = decodeError(m.ErrorKind, m.Error)
	}
	return r, true
}

func (o *outcomes) put(plugin, id string, r Result) {
	m := &kernelpb.Outcome{Id: outcomeKey(plugin, id), Index: r.Index, Body: r.Body}
	if r.Err != nil {
		m.ErrorKind, m.Error = EncodeError(r.Err)
	}
	o.add(m)
}

func (o *outcomes) add(m *kernelpb.Outcome) {
	o.byID[m.Id] = m
	o.order = append(o.order, m.Id)
	for len(o.order) > o.limit {
		delete(o.byID, o.order[0])
		o.order = o.order[1:]
	}
}

func (o *outcomes) encode() []*kernelpb.Outcome {
	list := make([]*kernelpb.Outcome, 0, len(o.order))
	for _, id := range o.order {
		list = append(list, o.byID[id])
	}
	return list
}

func (o *outcomes) decode(list []*kernelpb.Outcome) {
	*o = newOutcomes(o.limit)
	for _, m := range list {
		o.add(m)
	}
}

var storedErrorTypes = []*errorx.Type{ErrInvalid, ErrConflict, ErrNotFound, ErrHalted, ErrBusy}

const internalErrorKind = "internal"

// EncodeError returns the kind and the text by which an error is stored or sent.
func EncodeError(err error) (kind, text string) {
	for _, t := range storedErrorTypes {
		if errorx.IsOfType(err, t) {
			return t.FullName(), errorx.Cast(err).Message()
		}
	}
	return internalErrorKind, err.Error()
}

// DecodeError restores an error that EncodeError encoded; an empty kind means no error.
func DecodeError(kind, text string) error {
	if kind == "" {
		return nil
	}
	return decodeError(kind, text)
}

func decodeError(kind, text string) error {
	for _, t := range storedErrorTypes {
		if t.FullName() == kind {
			return t.New("%s", text)
		}
	}
	return errorx.InternalError.New("%s", text)
}
