package report

import "github.com/snipestep/snipestep/core"

// Report holds the measurements of a run.
type Report struct {
	Weights       Weights       `json:"weights"`
	Ranks         Ranks         `json:"ranks"`
	Purchases     Outcomes      `json:"purchases"`
	Flood         Flood         `json:"flood"`
	Organisations Organisations `json:"organisations"`
	Safety        Safety        `json:"safety"`
	Control       Control       `json:"control"`
}

// Weights is the distribution of the pushed weights. Times run from confirmation
// until the engines serve; copies are bytes divided by the size of the weights.
type Weights struct {
	Replicas              int     `json:"replicas"`
	ReplicasDone          int     `json:"replicas_done"`
	TimeToHalfS           float64 `json:"time_to_half_s"`
	TimeToAllS            float64 `json:"time_to_all_s"`
	IdealS                float64 `json:"ideal_s"`
	RatioToIdeal          float64 `json:"ratio_to_ideal"`
	OriginCopies          float64 `json:"origin_copies"`
	RegionLinkCopiesMax   float64 `json:"region_link_copies_max"`
	InstanceLinkCopiesMax float64 `json:"instance_link_copies_max"`
}

// Outcomes counts calls by outcome.
type Outcomes struct {
	Offered        int `json:"offered"`
	Answered       int `json:"answered"`
	RefusedNotRun  int `json:"refused_not_run"`
	RefusedUnknown int `json:"refused_unknown"`
	Failed         int `json:"failed"`
}

// Rank holds the outcomes and latencies of one rank's calls.
type Rank struct {
	Outcomes
	TTFTP50MS       float64 `json:"ttft_p50_ms"`
	TTFTP95MS       float64 `json:"ttft_p95_ms"`
	TTFTP99MS       float64 `json:"ttft_p99_ms"`
	InterTokenP95MS float64 `json:"inter_token_p95_ms"`
}

// Ranks holds the measurements of each rank.
type Ranks struct {
	Urgent     Rank `json:"urgent"`
	Normal     Rank `json:"normal"`
	Background Rank `json:"background"`
}

// Of returns the measurements of a rank.
func (r *Ranks) Of(rank core.Rank) *Rank {
	return [core.RankCount]*Rank{&r.Urgent, &r.Normal, &r.Background}[rank]
}

// Flood compares the ranks that did not flood with themselves: the ratio of their
// calls answered within target during the flood, over that before it. It is 1
// without a flood.
type Flood struct {
	OthersKeptRatio float64 `json:"others_kept_ratio"`
}

// Organisations holds the ratios of model calls that were answered, by the size of
// the organisation.
type Organisations struct {
	SmallAnsweredRatio float64 `json:"small_answered_ratio"`
	LargeAnsweredRatio float64 `json:"large_answered_ratio"`
}

// Safety counts the events that must never happen, as observed by the fakes and the
// callers. ConfigSpreadMaxS is no count: it is the longest time, in seconds, that a
// configuration generation took to reach all programs.
type Safety struct {
	MixedWeights      int     `json:"mixed_weights"`
	CorruptChunksUsed int     `json:"corrupt_chunks_used"`
	WrongAnswers      int     `json:"wrong_answers"`
	PartialAnswers    int     `json:"partial_answers"`
	FalseNotRun       int     `json:"false_not_run"`
	DoubleRuns        int     `json:"double_runs"`
	WorkAfterLeave    int     `json:"work_after_leave"`
	CutByPlannedStop  int     `json:"cut_by_planned_stop"`
	ConfigReverts     int     `json:"config_reverts"`
	ConfigSpreadMaxS  float64 `json:"config_spread_max_s"`
}

// Control is the cost of the control plane.
type Control struct {
	AgentBytesPerSMax float64 `json:"agent_bytes_per_s_max"`
	EntryBytesPerSMax float64 `json:"entry_bytes_per_s_max"`
	StoreCallsPerS    float64 `json:"store_calls_per_s"`
}
