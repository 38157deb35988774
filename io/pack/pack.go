// Package pack is the compact form of the messages that hosts send for every
// request: CBOR with numbers for field names, inside one JSON string. JSON would
// take two to three times the bytes, which count between availability zones.
package pack

import (
	"encoding/base64"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Packed carries a value whose fields have cbor tags with numbers. Fields that
// the other side does not know are passed over, so that versions can mix.
type Packed[T any] struct{ Value T }

// Of packs a value.
func Of[T any](v T) Packed[T] { return Packed[T]{v} }

// modes are made once; both are safe for concurrent use.
var (
	encoder = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode())
)

// maxElements bounds lists: a host has no more requests under way.
const maxElements = 1 << 17

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// MarshalJSON implements json.Marshaler.
func (p Packed[T]) MarshalJSON() ([]byte, error) {
	raw, err := encoder.Marshal(p.Value)
	if err != nil {
		return nil, errors.Wrap(err, "pack a message")
	}
	text := make([]byte, 0, base64.RawStdEncoding.EncodedLen(len(raw))+2)
	text = append(text, '"')
	text = base64.RawStdEncoding.AppendEncode(text, raw)
	return append(text, '"'), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Packed[T]) UnmarshalJSON(text []byte) error {
	var packed string
	if err := json.Unmarshal(text, &packed); err != nil {
		return errors.Wrap(err, "unpack a message")
	}
	raw, err := base64.RawStdEncoding.DecodeString(packed)
	if err != nil {
		return errors.Wrap(err, "unpack a message")
	}
	return errors.Wrap(decoder.Unmarshal(raw, &p.Value), "unpack a message")
}
