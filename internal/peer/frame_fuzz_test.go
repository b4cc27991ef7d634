package peer

import (
	"bufio"
	"bytes"
	"reflect"
	"testing"
)

// Guards against input that makes readFrame panic, and against an accepted frame
// that changes when it is encoded and read again.
func FuzzReadFrame(f *testing.F) {
	for _, seed := range []*frame{
		{Type: frameHello, Kind: "node-1", Body: make([]byte, challengeBytes)},
		{Type: frameRequest, ID: 1 << 40, Kind: "owner.reserve", Body: []byte{0x81, 0xa1, 'a', 1}},
		{Type: frameError, ID: 1, Body: []byte("refused")},
	} {
		data, err := encodeFrame(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Add([]byte{0, 0, 0, 1, 0xc0})                                     // msgpack nil
	f.Add([]byte{0, 0, 0, 1, 0x90})                                     // an empty array
	f.Add([]byte{0, 0, 0, 6, 0x91, 0xdd, 0xff, 0xff, 0xff, 0xff})       // an inner array with a length of 2^32-1
	f.Add([]byte{0, 0, 0, 8, 0x94, 1, 0, 0xa0, 0xc6, 0xff, 0xff, 0xff}) // a body with an incomplete 32-bit length
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := readFrame(bufio.NewReader(bytes.NewReader(data)), MaxFrameBytes)
		if err != nil {
			return
		}
		encoded, err := encodeFrame(first)
		if err != nil {
			t.Fatalf("accepted frame cannot be encoded: %v", err)
		}
		second, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)), MaxFrameBytes)
		if err != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("%+v became %+v, %v", first, second, err)
		}
	})
}
