package httpcall

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrProtocolSwitched reports a server that switched to another protocol, which no
// request asks for.
var ErrProtocolSwitched = eris.New("server switched to another protocol")

// RefuseSwitch closes a response that switches protocols and returns
// ErrProtocolSwitched. Reads of its body, the bare connection, would not end with
// the request's context.
func RefuseSwitch(response *http.Response) error {
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil
	}
	_ = response.Body.Close()
	return ErrProtocolSwitched
}
