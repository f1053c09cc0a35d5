package swarm

import "github.com/snipestep/snipestep/wire"

func requestFrame(index int, wait, urgent bool) *wire.ChunkClientFrame {
	return &wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Request{
		Request: &wire.ChunkRequest{Index: uint32(index), Wait: wait, Urgent: urgent},
	}}
}

func ackFrame(index int) *wire.ChunkClientFrame {
	return &wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Ack{
		Ack: &wire.ChunkAck{Index: uint32(index)},
	}}
}

func cancelFrame(index int) *wire.ChunkClientFrame {
	return &wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Cancel{
		Cancel: &wire.ChunkCancel{Index: uint32(index)},
	}}
}

func clientPingFrame() *wire.ChunkClientFrame {
	return &wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Ping{Ping: &wire.ChunkPing{}}}
}
