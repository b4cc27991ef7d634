package httpkit

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// DecodeStrict decodes exactly one JSON value. It rejects unknown fields and
// data after the value.
func DecodeStrict(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
