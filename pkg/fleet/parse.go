package fleet

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/joomcode/errorx"
)

// Fault is one error in a document.
type Fault struct {
	// Path locates the field, such as "pools[2].name".
	Path string `json:"path"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

// String returns the path and the message.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// Parse reads a document and refuses unknown fields and trailing data; it does not run Check.
func Parse(data []byte) (*Configuration, error) {
	c := &Configuration{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "parse configuration")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errorx.IllegalFormat.New("parse configuration: data after the document")
	}
	return c, nil
}

// Print returns the document as indented JSON in a stable order.
func (c *Configuration) Print() ([]byte, error) {
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, errorx.Decorate(err, "print configuration")
	}
	return append(data, '\n'), nil
}
