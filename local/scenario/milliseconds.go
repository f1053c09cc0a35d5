package scenario

import (
	"time"

	"github.com/snipestep/snipestep/settings"
)

// milliseconds binds a key in whole milliseconds, from 0, to a duration.
func milliseconds(target *time.Duration, highest int) settings.Value {
	value := new(int)
	return millisecondValue{Value: settings.Int(value, 0, highest), parsed: value, target: target}
}

type millisecondValue struct {
	settings.Value
	parsed *int
	target *time.Duration
}

// Parse implements settings.Value.
func (m millisecondValue) Parse(text string) error {
	if err := m.Value.Parse(text); err != nil {
		return err
	}
	*m.target = time.Duration(*m.parsed) * time.Millisecond
	return nil
}
