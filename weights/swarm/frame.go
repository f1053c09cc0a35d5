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
	// maxClientMessageBytes limits messages to the server.
	maxClientMessageBytes = 1 << 10
	// maxServerMessageBytes limits messages to the client; a bitmap of
	// weights.MaxChunks fits.
	maxServerMessageBytes = weights.MaxChunks/8 + 1<<10
)

// encodeFrame returns the frame of a message without its payload.
func encodeFrame(message proto.Message, payloadSize int) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderSize, 64), message)
	if err != nil {
		return nil, &FrameError{Detail: err.Error()}
	}
	binary.BigEndian.PutUint32(data[0:4], uint32(len(data)-frameHeaderSize))
	binary.BigEndian.PutUint32(data[4:8], uint32(payloadSize))
	return data, nil
}

// decodeFrameHeader returns the lengths of the message and the payload.
func decodeFrameHeader(header []byte, maxMessage, maxPayload int) (messageSize, payloadSize int, err error) {
	messageLength := binary.BigEndian.Uint32(header[0:4])
	payloadLength := binary.BigEndian.Uint32(header[4:8])
	if messageLength > uint32(maxMessage) {
		return 0, 0, &FrameError{Detail: "message too long"}
	}
	if payloadLength > uint32(maxPayload) {
		return 0, 0, &FrameError{Detail: "payload too long"}
	}
	return int(messageLength), int(payloadLength), nil
}
