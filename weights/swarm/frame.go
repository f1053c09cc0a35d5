package swarm

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/weights"
)

// A frame is two big-endian lengths of 4 bytes, an encoded message and a
// payload. Only ChunkData has a payload.
const (
	frameHeaderSize = 8
	// maxClientMessage bounds messages to the server in bytes.
	maxClientMessage = 1 << 10
	// maxServerMessage bounds messages to the client in bytes; a bitmap of
	// weights.MaxChunks fits.
	maxServerMessage = weights.MaxChunks/8 + 1<<10
)

// encodeFrame returns the frame of a message up to its payload.
func encodeFrame(message proto.Message, payload int) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderSize, 64), message)
	if err != nil {
		return nil, &FrameError{Detail: err.Error()}
	}
	binary.BigEndian.PutUint32(data[0:4], uint32(len(data)-frameHeaderSize))
	binary.BigEndian.PutUint32(data[4:8], uint32(payload))
	return data, nil
}

// decodeFrameHeader returns the lengths of the message and the payload.
func decodeFrameHeader(header []byte, maxMessage, maxPayload int) (message, payload int, err error) {
	m := binary.BigEndian.Uint32(header[0:4])
	p := binary.BigEndian.Uint32(header[4:8])
	if m > uint32(maxMessage) {
		return 0, 0, &FrameError{Detail: "message too long"}
	}
	if p > uint32(maxPayload) {
		return 0, 0, &FrameError{Detail: "payload too long"}
	}
	return int(m), int(p), nil
}
