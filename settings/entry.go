package settings

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Entry holds the settings of snipestep-entry.
type Entry struct {
	Instance core.Instance
	// HTTPAddr serves callers and operators.
	HTTPAddr string
	FleetKey []byte
	// OperatorTokenDigests are hexadecimal digests of operators' tokens.
	OperatorTokenDigests []string
	Policy               string
	OriginRegion         string
	Platform             EntryPlatform
	Limits               EntryLimits
	// AnswerMiB limits the memory for the answers of all calls together.
	AnswerMiB int
	Telemetry Telemetry
	// InitialDocument is written as the first generation if the key-value
	// service holds no configuration.
	InitialDocument *fleet.Document
}

// EntryPlatform holds the base URLs of the platform's services.
type EntryPlatform struct {
	KeyValueURL     string
	InstanceListURL string
	WeightStoreURL  string
}

// EntryLimits holds the limits of one entry.
type EntryLimits struct {
	// MaxBodyBytes limits the body of a caller's request.
	MaxBodyBytes int64
	// MaxWaiting limits the calls waiting for an endpoint.
	MaxWaiting int
	// CallersBytes limits what all callers together make the entry hold, MaxConns their
	// connections, 0 for the default of package ingress.
	CallersBytes int64
	MaxConns     int
	// HeaderTimeout is the longest time to read a request's header.
	HeaderTimeout time.Duration
	// ShutdownGrace is the longest time that running calls may take to finish at
	// a shutdown.
	ShutdownGrace time.Duration
}

// LoadEntry reads the settings of an entry. It returns *Error.
func LoadEntry(path string) (*Entry, error) {
	loader := newEntryLoader()
	file, err := Load(path, loader.schema())
	if err != nil {
		return nil, err
	}
	return loader.build(file)
}
