package settings

import (
	"math"
	"strconv"
	"strings"
)

// unit is a suffix of a quantity and the factor that it stands for.
type unit struct {
	suffix string
	factor int64
}

// If one suffix ends with another, the longer one comes first. formatQuantity
// uses the first unit that divides the value, so larger units come first.
var sizeUnits = []unit{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"GB", 1e9},
	{"MB", 1e6},
	{"KB", 1e3},
	{"B", 1},
}

var rateUnits = []unit{
	{"gbps", 1e9},
	{"mbps", 1e6},
	{"kbps", 1e3},
	{"bps", 1},
}

// Size binds a key to a number of bytes with its unit, such as "16MiB".
func Size(target *int64, lowest, highest int64) Value {
	return boundedValue[int64]{
		target: target,
		syntax: `a size such as "64KiB", "16MiB" or "100MB"`,
		min:    lowest,
		max:    highest,
		parse:  func(text string) (int64, bool) { return parseQuantity(text, sizeUnits) },
		format: formatSize,
	}
}

// Rate binds a key to bits a second with their unit, such as "20mbps".
func Rate(target *int64, lowest, highest int64) Value {
	return boundedValue[int64]{
		target: target,
		syntax: `a rate such as "500kbps", "20mbps" or "1gbps"`,
		min:    lowest,
		max:    highest,
		parse:  func(text string) (int64, bool) { return parseQuantity(text, rateUnits) },
		format: formatRate,
	}
}

func parseQuantity(text string, units []unit) (int64, bool) {
	for _, u := range units {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		scaled := value * float64(u.factor)
		if err != nil || math.IsNaN(scaled) || math.Abs(scaled) >= math.MaxInt64 {
			return 0, false
		}
		return int64(scaled), true
	}
	return 0, false
}

func formatSize(value int64) string {
	return formatQuantity(value, sizeUnits)
}

func formatRate(value int64) string {
	return formatQuantity(value, rateUnits)
}

func formatQuantity(value int64, units []unit) string {
	for _, u := range units {
		if value != 0 && value%u.factor == 0 {
			return strconv.FormatInt(value/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(value, 10) + units[len(units)-1].suffix
}
