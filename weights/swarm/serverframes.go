package swarm

import "github.com/snipestep/snipestep/wire"

func challengeFrame(nonce []byte) *wire.ChunkServerFrame {
	return &wire.ChunkServerFrame{Frame: &wire.ChunkServerFrame_Challenge{
		Challenge: &wire.ChunkChallenge{Nonce: nonce},
	}}
}

func welcomeFrame(proof []byte) *wire.ChunkServerFrame {
	return &wire.ChunkServerFrame{Frame: &wire.ChunkServerFrame_Welcome{
		Welcome: &wire.ChunkWelcome{Proof: proof},
	}}
}

func dataFrame(index uint32, served int) *wire.ChunkServerFrame {
	return &wire.ChunkServerFrame{Frame: &wire.ChunkServerFrame_Data{
		Data: &wire.ChunkData{Index: index, Served: uint32(served)},
	}}
}

func refusalFrame(index uint32, reason wire.ChunkRefusalReason, served int) *wire.ChunkServerFrame {
	return &wire.ChunkServerFrame{Frame: &wire.ChunkServerFrame_Refusal{
		Refusal: &wire.ChunkRefusal{Index: index, Reason: reason, Served: uint32(served)},
	}}
}

func haveFrame(bitmap []byte, indexes []uint32, served int) *wire.ChunkServerFrame {
	return &wire.ChunkServerFrame{Frame: &wire.ChunkServerFrame_Have{
		Have: &wire.ChunkHave{Bitmap: bitmap, Indexes: indexes, Served: uint32(served)},
	}}
}

func pingFrame() *wire.ChunkServerFrame {
	return &wire.ChunkServerFrame{Frame: &wire.ChunkServerFrame_Ping{Ping: &wire.ChunkPing{}}}
}
