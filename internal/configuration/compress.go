package configuration

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/joomcode/errorx"
)

// MaxDocumentBytes is the maximum size of a decompressed document, so that a small submission can't exhaust memory.
const MaxDocumentBytes = 8 << 20

func compress(doc []byte) ([]byte, error) {
	if len(doc) > MaxDocumentBytes {
		return nil, errorx.IllegalArgument.New("configuration has %d bytes; at most %d are allowed",
			len(doc), MaxDocumentBytes)
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		return nil, errorx.Decorate(err, "compress configuration")
	}
	if _, err := w.Write(doc); err != nil {
		return nil, errorx.Decorate(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errorx.Decorate(err, "compress configuration")
	}
	return buf.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	doc, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return nil, errorx.Decorate(err, "decompress configuration")
	}
	if len(doc) > MaxDocumentBytes {
		return nil, errorx.IllegalFormat.New("configuration decompresses to more than %d bytes", MaxDocumentBytes)
	}
	return doc, nil
}
