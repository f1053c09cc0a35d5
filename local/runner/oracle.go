package runner

import (
	"net"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
)

var (
	tokenText = fakes.TokenText
	plainBody = fakes.PlainResponseBody
)

// ipOf returns the IP address of an instance.
func ipOf(instance core.Instance) string {
	ip, _, err := net.SplitHostPort(instance.SessionAddr)
	if err != nil {
		return ""
	}
	return ip
}
