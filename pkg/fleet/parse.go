package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

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
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// JoinFaults returns the faults as text, one per line.
func JoinFaults(faults []Fault) string {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a document and rejects unknown fields, fields that are given twice, and trailing data; it does not run
// Check.
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
	if path, err := findDuplicate(json.NewDecoder(bytes.NewReader(data))); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "parse configuration")
	} else if path != "" {
		return nil, errorx.IllegalFormat.New("parse configuration: field %q is given twice", strings.TrimPrefix(path, "."))
	}
	return c, nil
}

// findDuplicate reads one value and returns the path of a field that is given twice, which the decoder would accept: it
// keeps the last value and silently drops the other. Field names are compared without case, as in the decoder.
func findDuplicate(dec *json.Decoder) (string, error) {
	t, err := dec.Token()
	if err != nil {
		return "", err
	}
	switch t {
	case json.Delim('{'):
		seen := make(map[string]struct{}, 9)
		for dec.More() {
			t, err := dec.Token()
			if err != nil {
				return "", err
			}
			name, _ := t.(string)
			folded := strings.ToLower(name)
			if _, ok := seen[folded]; ok {
				return "." + name, nil
			}
			seen[folded] = struct{}{}
			if path, err := findDuplicate(dec); err != nil || path != "" {
				return "." + name + path, err
			}
		}
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			if path, err := findDuplicate(dec); err != nil || path != "" {
				return fmt.Sprintf("[%d]%s", i, path), err
			}
		}
	default:
		return "", nil
	}
	_, err = dec.Token() // the closing delimiter
	return "", err
}

// Print returns the document as indented JSON in a stable order.
func (c *Configuration) Print() ([]byte, error) {
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, errorx.Decorate(err, "print configuration")
	}
	return append(data, '\n'), nil
}
