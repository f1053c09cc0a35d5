package configuration

import (
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/wire"
)

// Respond answers a process that asks for a newer configuration: with the
// document held here if it is newer, otherwise with its generation only. It
// returns *fleet.DocumentSizeError.
func Respond(held *fleet.DocumentHolder, req *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	doc := held.Current()
	answer := &wire.ConfigResponse{Generation: uint64(doc.Generation)}
	if answer.GetGeneration() <= req.GetGeneration() {
		return answer, nil
	}
	encoded, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	answer.Document = encoded
	return answer, nil
}
