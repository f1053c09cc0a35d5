package core

import "fmt"

// Rank is the urgency of a call. A lower value is more urgent.
type Rank uint8

// The ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankNormal
	RankBackground
)

// RankCount is the number of ranks.
const RankCount = 3

// Ranks lists every rank, most urgent first.
var Ranks = [RankCount]Rank{RankUrgent, RankNormal, RankBackground}

var rankNames = [RankCount]string{"urgent", "normal", "background"}

// UnknownRankError reports a rank name that does not exist.
type UnknownRankError struct {
	Name string
}

// Error implements error.
func (e *UnknownRankError) Error() string {
	return fmt.Sprintf("rank %q does not exist, want urgent, normal or background", e.Name)
}

// String returns the rank's name.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// Valid reports whether the rank is one of Ranks.
func (r Rank) Valid() bool {
	return r < RankCount
}

// ParseRank returns the rank with the given name, or *UnknownRankError.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, &UnknownRankError{Name: name}
}

// MarshalText encodes the rank as its name.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes a rank name.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}
