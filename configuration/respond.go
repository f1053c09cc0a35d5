package configuration

import (
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/wire"
)

// Respond returns the response to a request for a newer configuration: the holder's
// document if it is newer, otherwise its generation only. It returns
// *fleet.DocumentSizeError.
func Respond(holder *fleet.DocumentHolder, request *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	doc := holder.Current()
	response := &wire.ConfigResponse{Generation: uint64(doc.Generation)}
	if response.GetGeneration() <= request.GetGeneration() {
		return response, nil
	}
	encoded, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	response.Document = encoded
	return response, nil
}
