package loadreport

import "time"

// StartAge tells since when an endpoint runs. It takes the byte in which builds before it sent
// the age of the declared version, so that a flag says which of them it is.
type StartAge struct {
	// Known says that the agent names an age; all other fields are valid then.
	Known bool
	// Seen says that the agent saw the start of the endpoint. Else Age is the time since the
	// agent's first poll that the endpoint answered.
	Seen bool
	// Age is the time since then in steps of 100 ms, rounded down; UnknownDuration if it is
	// beyond 25.4 s.
	Age time.Duration
}

func (s StartAge) flags() byte {
	switch {
	case !s.Known:
		return 0
	case s.Seen:
		return startKnownFlag | startSeenFlag
	default:
		return startKnownFlag
	}
}

// decodeStartAge decodes an age; without its flag the byte has another meaning.
func decodeStartAge(flags, age byte) StartAge {
	if flags&startKnownFlag == 0 {
		return StartAge{}
	}
	return StartAge{Known: true, Seen: flags&startSeenFlag != 0, Age: decodeDuration(age)}
}

// Follows reports whether an age is that of a later report about the same start as last, so
// that it tells nothing new.
func (s StartAge) Follows(last StartAge) bool {
	return s.Known == last.Known && s.Seen == last.Seen && s.Age >= last.Age
}
