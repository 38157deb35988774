package pack

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type message struct {
	ID      uint64         `cbor:"1,keyasint,omitempty"`
	Name    string         `cbor:"2,keyasint,omitempty"`
	Wait    time.Duration  `cbor:"3,keyasint,omitempty"`
	Tokens  float64        `cbor:"4,keyasint,omitempty"`
	Avoid   []string       `cbor:"5,keyasint,omitempty"`
	Address netip.AddrPort `cbor:"6,keyasint,omitempty"`
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{
			ID: rapid.Uint64().Draw(t, "ID"), Name: rapid.String().Draw(t, "Name"),
			Wait: time.Duration(rapid.Int64().Draw(t, "Wait")), Tokens: rapid.Float64().Draw(t, "Tokens"),
			Avoid:   rapid.SliceOfN(rapid.String(), 1, 5).Draw(t, "Avoid"),
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}
		text, err := json.Marshal(Of(m))
		assert.NilError(t, err)
		var decoded Packed[message]
		assert.NilError(t, json.Unmarshal(text, &decoded))
		assert.Assert(t, reflect.DeepEqual(decoded.Value, m), "decoded %v, want %v", decoded.Value, m)
	})
}

// Hosts of different versions send fields that the receiver does not know.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	text, err := json.Marshal(Of(message{ID: 7, Name: "x"}))
	assert.NilError(t, err)
	var decoded Packed[struct {
		ID  uint64 `cbor:"1,keyasint,omitempty"`
		New string `cbor:"99,keyasint,omitempty"`
	}]
	assert.NilError(t, json.Unmarshal(text, &decoded))
	assert.Equal(t, decoded.Value.ID, uint64(7))
}

func TestInvalidInputIsRejected(t *testing.T) {
	for _, text := range []string{`{}`, `7`, `"!"`, `"AAAA"`, `"/////w"`, `""`} {
		var decoded Packed[message]
		assert.Assert(t, json.Unmarshal([]byte(text), &decoded) != nil, text)
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(`"oQEH"`)
	f.Fuzz(func(_ *testing.T, text string) {
		var decoded Packed[message]
		_ = json.Unmarshal([]byte(text), &decoded)
	})
}
