// Package loadreport holds the datagrams between entries and the agents beside
// endpoints. An entry asks an agent for reports; the agent reports the load of
// its endpoint for a while to every entry that asked. Nothing is acknowledged
// and nothing is stored: a lost datagram is replaced by the next one.
package loadreport

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// Interval is the pause between two reports of an agent: a place of an
	// endpoint comes free about every 80 ms.
	Interval = 50 * time.Millisecond
	// AskInterval is the pause between two asks of an entry.
	AskInterval = 400 * time.Millisecond
	// AskLife is how long an ask counts; three may be lost.
	AskLife = 4 * AskInterval
	// MaxBytes bounds a datagram.
	MaxBytes = 1200
)

// Report is the load of one endpoint over all entries.
type Report struct {
	// Endpoint is the address (IP:port) at which the endpoint takes requests.
	Endpoint string  `json:"endpoint"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Pace     float64 `json:"pace,omitempty"`
	// Closed says that the endpoint takes nothing new for the moment.
	Closed bool `json:"closed,omitempty"`
	// Held is the version of the weights that is whole at the endpoint.
	Held uint64 `json:"held"`
	// Entries is how many entries ask for reports.
	Entries int `json:"entries"`
}

// Ask asks an agent for reports to the sender's address.
type Ask struct {
	Entry string `json:"entry"`
}

// FormatError reports a datagram that cannot be decoded.
type FormatError struct {
	Cause error
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("datagram is malformed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error {
	return e.Cause
}

// Encode returns the datagram of a Report or an Ask.
func Encode[T Report | Ask](message T) []byte {
	// Neither type holds a value that JSON cannot express.
	data, _ := json.Marshal(message)
	return data
}

// Decode decodes a datagram. It returns *FormatError.
func Decode[T Report | Ask](data []byte) (T, error) {
	var message T
	if err := json.Unmarshal(data, &message); err != nil {
		return message, &FormatError{Cause: err}
	}
	return message, nil
}
