package operator

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

const (
	maxListedInstances = 6
	bytesPerMegabyte   = 1_000_000
)

func formatCapacities(ranks []intent.RankCapacity) string {
	if len(ranks) == 0 {
		return "none"
	}
	parts := []string{fmt.Sprintf("%d slots", ranks[0].Slots)}
	for _, r := range ranks {
		parts = append(parts, fmt.Sprintf("%s %d", r.Rank, r.Guaranteed))
	}
	return strings.Join(parts, ", ")
}

func formatInstances(ids []core.InstanceID) string {
	var parts []string
	for _, id := range ids {
		parts = append(parts, string(id))
	}
	sort.Strings(parts)
	if len(parts) > maxListedInstances {
		parts = append(parts[:maxListedInstances], fmt.Sprintf("and %d more", len(ids)-maxListedInstances))
	}
	return strings.Join(parts, " ")
}

func formatMegabytes(n int64) string {
	return fmt.Sprintf("%.1f MB", float64(n)/bytesPerMegabyte)
}

func formatMilliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
