package scenario

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/settings"
)

// Upper bounds of the values.
const (
	maxRegions       = 16
	maxReplicas      = 256
	maxEntries       = 32
	maxOrganisations = 1000
	maxMbps          = 100_000
	maxRPS           = 5000
	maxFloodFactor   = 1000
	maxSizeMB        = 4096
	maxSlots         = 1024
	maxOutputTokens  = 100_000
	maxCrashRequests = 1000
	maxRunTime       = time.Hour
	maxEngineTime    = time.Minute
	maxLatencyMS     = 10_000
)

// Schema returns the keys of a scenario file, bound to s.
func Schema(s *Scenario) settings.Schema {
	return settings.Schema{
		fleetSection(&s.Fleet),
		linkSection(&s.Links),
		engineSection(&s.Engines),
		weightSection(&s.Weights),
		loadSection(&s.Load),
		floodSection(&s.Flood),
		faultSection(&s.Faults),
		runSection(&s.Run),
	}
}

func fleetSection(f *Fleet) settings.Section {
	return settings.Section{Name: "fleet", Doc: "Instances and organisations.", Keys: []settings.Key{
		{Name: "regions", Default: "3", Value: settings.Int(&f.Regions, 1, maxRegions), Doc: "Regions, with one failure domain each."},
		{Name: "model_replicas", Default: "11", Value: settings.Int(&f.ModelReplicas, 1, maxReplicas), Doc: "Model engines, each with an agent."},
		{Name: "plain_replicas", Default: "4", Value: settings.Int(&f.PlainReplicas, 1, maxReplicas), Doc: "Replicas of the plain service, each with an agent."},
		{Name: "entries", Default: "3", Value: settings.Int(&f.Entries, 1, maxEntries), Doc: "Entries."},
		{Name: "organisations", Default: "10", Value: settings.Int(&f.Organisations, 1, maxOrganisations), Doc: "Organisations; two of them are large."},
	}}
}

func linkSection(l *Links) settings.Section {
	return settings.Section{Name: "links", Doc: "Rates each way, and latency.", Keys: []settings.Key{
		{Name: "instance_mbps", Default: "400", Value: settings.Int(&l.InstanceMbps, 1, maxMbps), Doc: "Rate of an instance's link in megabits a second."},
		{Name: "origin_mbps", Default: "800", Value: settings.Int(&l.OriginMbps, 1, maxMbps), Doc: "Rate of the origin's link in megabits a second."},
		{Name: "region_mbps", Default: "20", Value: settings.Int(&l.RegionMbps, 1, maxMbps), Doc: "Rate between two regions in megabits a second."},
		{Name: "region_latency_ms", Default: "3", Value: milliseconds(&l.RegionLatency, maxLatencyMS), Doc: "One-way latency between regions in milliseconds."},
	}}
}

func engineSection(e *Engines) settings.Section {
	const maxTimeMS = int(maxEngineTime / time.Millisecond)
	return settings.Section{Name: "engines", Doc: "The fake engines.", Keys: []settings.Key{
		{Name: "slots", Default: "8", Value: settings.Int(&e.Slots, 1, maxSlots), Doc: "Calls that an engine runs at once."},
		{Name: "first_token_ms", Default: "80", Value: milliseconds(&e.FirstTokenDelay, maxTimeMS), Doc: "Time to the first token in milliseconds."},
		{Name: "token_ms", Default: "20", Value: milliseconds(&e.TokenInterval, maxTimeMS), Doc: "Time between tokens in milliseconds."},
		{Name: "output_tokens", Default: "40", Value: settings.Int(&e.OutputTokens, 1, maxOutputTokens), Doc: "Tokens of an answer."},
		{Name: "load_ms", Default: "200", Value: milliseconds(&e.LoadDuration, maxTimeMS), Doc: "Time to load weights in milliseconds."},
		{Name: "ignore_fencing_ratio", Default: "0.5", Value: settings.Ratio(&e.IgnoreFencingRatio), Doc: "Part of the engines that ignore fencing numbers."},
	}}
}

func weightSection(w *Weights) settings.Section {
	return settings.Section{Name: "weights", Doc: "What is pushed.", Keys: []settings.Key{
		{Name: "size_mb", Default: "16", Value: settings.Int(&w.SizeMB, 1, maxSizeMB), Doc: "Size of made weights in megabytes."},
		{Name: "dir", Value: settings.Text(&w.Dir), Doc: "Directory whose files are pushed; empty for made weights."},
		{Name: "push_at", Default: "2s", Value: settings.OptionalDuration(&w.PushAt, 0, maxRunTime), Doc: "When the push is confirmed; empty for no push."},
		{Name: "second_push_at", Value: settings.OptionalDuration(&w.SecondPushAt, 0, maxRunTime), Doc: "When another version is pushed; empty for never."},
	}}
}

func loadSection(l *Load) settings.Section {
	return settings.Section{Name: "load", Doc: "What callers ask for.", Keys: []settings.Key{
		{Name: "duration", Default: "20s", Value: settings.Duration(&l.Duration, 100*time.Millisecond, maxRunTime), Doc: "How long calls arrive."},
		{Name: "urgent_rps", Default: "10", Value: settings.Float(&l.UrgentRPS, 0, maxRPS), Doc: "Urgent calls a second."},
		{Name: "normal_rps", Default: "20", Value: settings.Float(&l.NormalRPS, 0, maxRPS), Doc: "Normal calls a second."},
		{Name: "background_rps", Default: "20", Value: settings.Float(&l.BackgroundRPS, 0, maxRPS), Doc: "Background calls a second."},
		{Name: "purchase_rps", Default: "5", Value: settings.Float(&l.PurchaseRPS, 0, maxRPS), Doc: "Purchases a second."},
		{Name: "large_share", Default: "0.7", Value: settings.Ratio(&l.LargeShare), Doc: "Part of the calls that large organisations make."},
	}}
}

func floodSection(f *Flood) settings.Section {
	return settings.Section{Name: "flood", Doc: "One rank's flood.", Keys: []settings.Key{
		{Name: "rank", Value: settings.OptionalRank(&f.Rank, &f.Enabled), Doc: "Rank that floods; empty for no flood."},
		{Name: "factor", Default: "5", Value: settings.Float(&f.Factor, 1, maxFloodFactor), Doc: "Multiplies the rank's rate."},
		{Name: "from", Default: "6s", Value: settings.Duration(&f.From, 0, maxRunTime), Doc: "When the flood begins."},
		{Name: "for", Default: "8s", Value: settings.Duration(&f.Duration, 0, maxRunTime), Doc: "How long it lasts."},
	}}
}

func faultSection(f *Faults) settings.Section {
	return settings.Section{Name: "faults", Doc: "What fails.", Keys: []settings.Key{
		{Name: "kill_agents", Default: "0", Value: settings.Int(&f.KillAgents, 0, maxReplicas), Doc: "Model agents that are killed."},
		{Name: "kill_at", Default: "5s", Value: settings.Duration(&f.KillAt, 0, maxRunTime), Doc: "When they are killed."},
		{Name: "corrupt_chunk_ratio", Default: "0", Value: settings.Ratio(&f.CorruptChunkRatio), Doc: "Part of the chunks that arrive corrupt."},
		{Name: "stall_links", Default: "0", Value: settings.Int(&f.StallLinks, 0, maxReplicas), Doc: "Instances whose chunk links stall in the push."},
		{Name: "store_down_from", Value: settings.OptionalDuration(&f.StoreDownFrom, 0, maxRunTime), Doc: "When the key-value service goes down; empty for never."},
		{Name: "store_down_for", Value: settings.OptionalDuration(&f.StoreDownFor, 0, maxRunTime), Doc: "How long it is down."},
		{Name: "lose_cas_answer_ratio", Default: "0", Value: settings.Ratio(&f.LoseCASAnswerRatio), Doc: "Part of the writes that take effect and lose their answer."},
		{Name: "planned_stops", Default: "0", Value: settings.Int(&f.PlannedStops, 0, maxReplicas), Doc: "Model replicas that an intent stops."},
		{Name: "crash_requests", Default: "0", Value: settings.Int(&f.CrashRequests, 0, maxCrashRequests), Doc: "Requests that crash every engine that runs them."},
		{Name: "resend_ratio", Default: "0", Value: settings.Ratio(&f.ResendRatio), Doc: "Part of the calls that callers send again through another entry."},
	}}
}

func runSection(r *Run) settings.Section {
	return settings.Section{Name: "run", Doc: "The run.", Keys: []settings.Key{
		{Name: "seed", Default: "1", Value: settings.Seed(&r.Seed), Doc: "Seed of all randomness."},
		{Name: "policy", Default: core.PolicySnipestep, Value: settings.Choice(&r.Policy, core.PolicySnipestep, core.PolicyBaseline), Doc: "Policy of routing and weight distribution."},
	}}
}
