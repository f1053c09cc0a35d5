package scenario

import (
	"time"

	"github.com/snipestep/snipestep/settings"
)

// milliseconds binds a key in whole milliseconds, from 0 to maxMS, to a duration.
func milliseconds(duration *time.Duration, maxMS int) settings.Value {
	parsed := new(int)
	return millisecondValue{Value: settings.Int(parsed, 0, maxMS), milliseconds: parsed, duration: duration}
}

type millisecondValue struct {
	settings.Value
	milliseconds *int
	duration     *time.Duration
}

// Parse implements settings.Value.
func (m millisecondValue) Parse(text string) error {
	if err := m.Value.Parse(text); err != nil {
		return err
	}
	*m.duration = time.Duration(*m.milliseconds) * time.Millisecond
	return nil
}
