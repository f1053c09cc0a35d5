package wire

import (
	"crypto/hmac"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"
)

const tagSize = 16 // Bytes.

// MaxDatagramSize limits a datagram including its tag, in bytes.
const MaxDatagramSize = 1400

// EncodeDatagram encodes a datagram and appends its authentication tag. It
// returns *DatagramSizeError if the result exceeds MaxDatagramSize.
func EncodeDatagram(key []byte, d *Datagram) ([]byte, error) {
	body, err := proto.Marshal(d)
	if err != nil {
		return nil, err
	}
	if len(body)+tagSize > MaxDatagramSize {
		return nil, &DatagramSizeError{Size: len(body) + tagSize}
	}
	return append(body, datagramTag(key, body)...), nil
}

// DecodeDatagram verifies the tag and decodes the datagram. It returns
// ErrBadTag if the tag or the size is wrong.
func DecodeDatagram(key, raw []byte) (*Datagram, error) {
	if len(raw) < tagSize || len(raw) > MaxDatagramSize {
		return nil, ErrBadTag
	}
	body, tag := raw[:len(raw)-tagSize], raw[len(raw)-tagSize:]
	if !hmac.Equal(tag, datagramTag(key, body)) {
		return nil, ErrBadTag
	}
	d := &Datagram{}
	if err := proto.Unmarshal(body, d); err != nil {
		return nil, err
	}
	return d, nil
}

func datagramTag(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)[:tagSize]
}
