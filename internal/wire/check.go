package wire

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// MaxElements bounds the elements of all arrays and maps of a message. The largest
	// usual one, the tables for a starting node, has some ten thousand.
	MaxElements = 1 << 18
	// MaxDepth bounds the nesting of arrays and maps. Usual messages have four levels.
	MaxDepth = 32
)

var (
	errTruncated = errors.New("message ends within a value")
	errElements  = errors.Errorf("message has more than %d elements, or claims more than it holds", MaxElements)
	errDepth     = errors.Errorf("message is nested more than %d levels deep", MaxDepth)
	errCode      = errors.New("message has an unknown type code")
	errTrailing  = errors.New("message has bytes after its value")
)

// Unmarshal decodes one value. It returns an error for data that Check refuses.
func Unmarshal(data []byte, out any) error {
	if err := Check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, out)
}

// Check returns an error if the data is not one value, or one that is malformed, too
// large or nested too deeply to be decoded. It allocates nothing.
func Check(data []byte) error {
	var open [MaxDepth + 1]int // values that are missing at each level
	open[0] = 1
	elements, depth := 0, 0
	for {
		for open[depth] == 0 {
			if depth == 0 && len(data) > 0 {
				return errTrailing
			}
			if depth == 0 {
				return nil
			}
			depth--
		}
		open[depth]--
		size, values, err := header(data)
		if err != nil {
			return err
		}
		data = data[size:]
		if values == 0 {
			continue
		}
		if elements += values; elements > MaxElements || values > len(data) {
			return errElements
		}
		if depth++; depth > MaxDepth {
			return errDepth
		}
		open[depth] = values
	}
}

// header returns the size of the first value, without the values that an array or a map
// contains, and the number of these.
func header(data []byte) (size, values int, err error) {
	if len(data) == 0 {
		return 0, 0, errTruncated
	}
	size, lengthBytes, kind := classify(data[0])
	if kind == kindUnknown {
		return 0, 0, errCode
	}
	if len(data) < size+lengthBytes {
		return 0, 0, errTruncated
	}
	length := 0
	switch lengthBytes {
	case 1:
		length = int(data[1])
	case 2:
		length = int(binary.BigEndian.Uint16(data[1:]))
	case 4:
		length = int(binary.BigEndian.Uint32(data[1:]))
	}
	size += lengthBytes
	switch kind {
	case kindArray:
		return size, length + fixedLength(data[0]), nil
	case kindMap:
		return size, 2 * (length + fixedLength(data[0])), nil
	}
	if len(data)-size < length {
		return 0, 0, errTruncated
	}
	return size + length, 0, nil
}

type kind uint8

const (
	kindUnknown kind = iota
	kindScalar
	kindArray
	kindMap
)

// fixedLength returns the length that a type code contains, or 0.
func fixedLength(code byte) int {
	if msgpcode.IsFixedArray(code) || msgpcode.IsFixedMap(code) {
		return int(code & msgpcode.FixedArrayMask)
	}
	return 0
}

// classify returns the size of a value's code and fixed part, the size of its length
// field and its kind.
func classify(code byte) (size, lengthBytes int, k kind) {
	switch {
	case msgpcode.IsFixedNum(code):
		return 1, 0, kindScalar
	case msgpcode.IsFixedMap(code):
		return 1, 0, kindMap
	case msgpcode.IsFixedArray(code):
		return 1, 0, kindArray
	case msgpcode.IsFixedString(code):
		return 1 + int(code&msgpcode.FixedStrMask), 0, kindScalar
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 1, 0, kindScalar
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0, kindScalar
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 3, 0, kindScalar
	case msgpcode.FixExt2:
		return 4, 0, kindScalar
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0, kindScalar
	case msgpcode.FixExt4:
		return 6, 0, kindScalar
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0, kindScalar
	case msgpcode.FixExt8:
		return 10, 0, kindScalar
	case msgpcode.FixExt16:
		return 18, 0, kindScalar
	case msgpcode.Str8, msgpcode.Bin8:
		return 1, 1, kindScalar
	case msgpcode.Str16, msgpcode.Bin16:
		return 1, 2, kindScalar
	case msgpcode.Str32, msgpcode.Bin32:
		return 1, 4, kindScalar
	case msgpcode.Ext8:
		return 2, 1, kindScalar
	case msgpcode.Ext16:
		return 2, 2, kindScalar
	case msgpcode.Ext32:
		return 2, 4, kindScalar
	case msgpcode.Array16:
		return 1, 2, kindArray
	case msgpcode.Array32:
		return 1, 4, kindArray
	case msgpcode.Map16:
		return 1, 2, kindMap
	case msgpcode.Map32:
		return 1, 4, kindMap
	}
	return 0, 0, kindUnknown
}
