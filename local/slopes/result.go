package slopes

// Result holds all points and the lines fitted through them.
type Result struct {
	// ByAgents varies the agents with a fixed number of entries, ByEntries the
	// entries with a fixed number of agents.
	ByAgents  []Point `json:"by_agents"`
	ByEntries []Point `json:"by_entries"`
	Lines     []Line  `json:"lines"`
}

// Line is cost = Intercept + Slope * number of agents or entries, fitted by least
// squares.
type Line struct {
	Cost      string  `json:"cost"`
	Unit      string  `json:"unit"`
	Per       string  `json:"per"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// cost selects one cost of a point.
type cost struct {
	name  string
	unit  string
	value func(p Point) float64
}

var costs = []cost{
	{"agent control traffic", "bytes/s", func(p Point) float64 { return p.AgentBytesPerS }},
	{"entry control traffic", "bytes/s", func(p Point) float64 { return p.EntryBytesPerS }},
	{"store calls", "calls/s", func(p Point) float64 { return p.StoreCallsPerS }},
	{"idle processor time", "cores", func(p Point) float64 { return p.IdleCores }},
	{"heap", "bytes", func(p Point) float64 { return float64(p.HeapBytes) }},
	{"stacks", "bytes", func(p Point) float64 { return float64(p.StackBytes) }},
	{"processor time per call", "ms", func(p Point) float64 { return p.CPUMSPerCall }},
	{"processor time per chunk", "ms", func(p Point) float64 { return p.CPUMSPerChunk }},
	{"time to all replicas", "s", func(p Point) float64 { return p.TimeToAllS }},
}

func agentsOf(p Point) float64 {
	return float64(p.Agents)
}

func entriesOf(p Point) float64 {
	return float64(p.Entries)
}

// fitAll fits every cost against agents and against entries.
func (r *Result) fitAll() {
	for _, c := range costs {
		r.Lines = append(r.Lines,
			fit(c, "agent", r.ByAgents, agentsOf),
			fit(c, "entry", r.ByEntries, entriesOf))
	}
}

// fit returns the least-squares line through the points.
func fit(c cost, per string, points []Point, size func(Point) float64) Line {
	line := Line{Cost: c.name, Unit: c.unit, Per: per}
	var meanX, meanY float64
	for _, p := range points {
		meanX += size(p) / float64(len(points))
		meanY += c.value(p) / float64(len(points))
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (size(p) - meanX) * (c.value(p) - meanY)
		variance += (size(p) - meanX) * (size(p) - meanX)
	}
	if variance > 0 {
		line.Slope = covariance / variance
	}
	line.Intercept = meanY - line.Slope*meanX
	return line
}
