package hingefollow

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// A body begins with the form in which its CBOR encoding follows. Records of servers of one service
// share most of their text, so that compression halves what a start or a release sends.
const (
	formPlain byte = iota
	formCompressed
)

// minCompressed is the shortest encoding that is compressed, in bytes.
const minCompressed = 512

func encodeBody(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode a body")
	}
	if len(b) < minCompressed {
		return append([]byte{formPlain}, b...), nil
	}
	out := make([]byte, 1, 1+s2.MaxEncodedLen(len(b)))
	out[0] = formCompressed
	return append(out, s2.Encode(out[1:cap(out)], b)...), nil
}

func decodeBody(b []byte, v any) error {
	if len(b) == 0 {
		return eris.New("body is empty")
	}
	form, encoded := b[0], b[1:]
	switch form {
	case formPlain:
	case formCompressed:
		n, err := s2.DecodedLen(encoded)
		if err != nil {
			return eris.Wrap(err, "read the length of a compressed body")
		}
		if n > hingelink.MaxCall {
			return eris.Errorf("compressed body has %d bytes, at most %d are permitted", n, hingelink.MaxCall)
		}
		if encoded, err = s2.Decode(nil, encoded); err != nil {
			return eris.Wrap(err, "decompress a body")
		}
	default:
		return eris.Errorf("unknown form %d of a body", form)
	}
	return eris.Wrap(lenient.Unmarshal(encoded, v), "decode a body")
}

// lenient accepts texts that aren't UTF-8, so that one record with such a text doesn't cost all others of its response.
var lenient = mustLenient()

func mustLenient() cbor.DecMode {
	m, err := cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
