package telemetry

import (
	"fmt"
	"strings"
)

var (
	entryOnly     = []string{ProgramEntry}
	agentOnly     = []string{ProgramAgent}
	entryAndAgent = []string{ProgramEntry, ProgramAgent}
	// directOnly marks metrics that only snipestep-direct reports. Its agents
	// report the chunk metrics of snipestep-agent too.
	directOnly     = []string{ProgramDirect}
	entryAndDirect = []string{ProgramEntry, ProgramDirect}
	everywhere     = []string{ProgramEntry, ProgramAgent, ProgramDirect}
)

// Metrics lists every metric of the programs.
var Metrics = []Metric{
	{MetricCalls, Counter, "calls", []string{TagRank, TagOutcome}, entryOnly, "Calls that ended, by outcome: answered or refused; a call that its caller left counts as refused."},
	{MetricRefusals, Counter, "calls", []string{TagCode, TagRun}, entryOnly, "Refused calls by problem code, and by whether the call can have run."},
	{MetricTimeToFirstToken, Histogram, "seconds", []string{TagRank}, entryOnly, "Time from the request to the first token of an answer."},
	{MetricWaitingCalls, Gauge, "calls", []string{TagRank}, entryOnly, "Calls that wait at the entry for an endpoint."},
	{MetricRetries, Counter, "attempts", nil, entryOnly, "Attempts after a broken one, as the retry budget allowed."},
	{MetricResumes, Counter, "streams", nil, entryOnly, "Broken streams that continued at another endpoint."},
	{MetricDroppedAnswers, Counter, "answers", nil, entryAndAgent, "Late or crossed answers that were dropped."},
	{MetricQuarantinedFingerprints, Gauge, "fingerprints", nil, entryAndDirect, "Requests in quarantine because endpoints crashed under them."},
	{MetricStrikes, Counter, "strikes", nil, entryAndDirect, "Strikes against requests that were in flight at a crash."},
	{MetricClaims, Counter, "claims", []string{TagOutcome}, entryOnly, "Claims of idempotency keys by verdict."},
	{MetricConfigGeneration, Gauge, "generation", nil, entryAndAgent, "Generation of the configuration in force."},
	{MetricKnownInstances, Gauge, "instances", nil, entryOnly, "Agents whose heartbeats the entry hears."},
	{MetricSessions, Gauge, "sessions", nil, entryAndAgent, "Open sessions with other processes."},
	{MetricProtocolFaults, Counter, "events", []string{TagFault}, entryAndAgent, "Connections of other processes closed before they became sessions (session), and streams with a bad header (stream)."},
	{MetricDatagramsSent, Counter, "datagrams", nil, entryAndAgent, "Datagrams sent."},
	{MetricDatagramsReceived, Counter, "datagrams", nil, entryAndAgent, "Authentic datagrams received."},
	{MetricDatagramsRejected, Counter, "datagrams", nil, entryAndAgent, "Datagrams dropped because they are malformed, not authentic or old."},
	{MetricControlBytes, Counter, "bytes", nil, entryAndAgent, "Bytes of datagrams, both ways."},
	{MetricStoreCalls, Counter, "calls", []string{TagCall}, entryOnly, "Calls to the key-value service that ended; a watch counts once, however often it polls."},
	{MetricStoreErrors, Counter, "calls", []string{TagCall}, entryOnly, "Failed calls to the key-value service."},
	{MetricPlanLeaseHeld, Gauge, "0 or 1", nil, entryOnly, "Whether the entry holds the lease to carry out plans."},
	{MetricPlanSteps, Counter, "steps", []string{TagOutcome}, entryOnly, "Orders that the entry sent to agents, by outcome: accepted or failed."},
	{MetricRunningCalls, Gauge, "calls", []string{TagRank}, agentOnly, "Calls that the endpoint runs."},
	{MetricQueuedCalls, Gauge, "calls", []string{TagRank}, agentOnly, "Calls that wait in the agent's queue."},
	{MetricPreemptions, Counter, "streams", nil, agentOnly, "Streams cancelled for more urgent calls."},
	{MetricEndpointErrors, Counter, "calls", []string{TagCode}, agentOnly, "Attempts that the endpoint did not start or broke off, by code."},
	{MetricHeldAnswerBytes, Gauge, "bytes", nil, entryAndAgent, "Memory that answers take, of the limit for all together; the first 64 KiB of each do not count."},
	{MetricChunkBytesFetched, Counter, "bytes", []string{TagSource}, agentOnly, "Chunk bytes fetched, from origin, store or peer."},
	{MetricChunkBytesServed, Counter, "bytes", nil, agentOnly, "Chunk bytes served to peers."},
	{MetricChunksFetched, Counter, "chunks", nil, agentOnly, "Chunks fetched from peers."},
	{MetricChunksServed, Counter, "chunks", nil, agentOnly, "Chunks served to peers."},
	{MetricRegionChunkBytes, Counter, "bytes", nil, agentOnly, "Chunk bytes fetched from peers of other regions."},
	{MetricChunkControlBytes, Counter, "bytes", nil, agentOnly, "Bytes of the chunk protocol that are not chunks, both ways."},
	{MetricChunkFaults, Counter, "events", []string{TagFault}, agentOnly, "Faults of chunk connections: malformed (frame), rejected, stalled or lost (connection), refused (request)."},
	{MetricCorruptChunks, Counter, "chunks", nil, agentOnly, "Chunks that failed verification and were dropped."},
	{MetricWeightsVerified, Gauge, "ratio", nil, agentOnly, "Verified part of the weights being fetched."},
	{MetricOrders, Counter, "orders", []string{TagOrder, TagOutcome}, agentOnly, "Orders of entries, by order (prefetch, serve, drain, resume) and outcome (accepted, refused)."},
	{MetricServing, Gauge, "0 or 1", nil, agentOnly, "Whether the endpoint is in routing."},
	{MetricDirectRequests, Counter, "requests", []string{TagRank, TagOutcome}, directOnly, "Requests to directly called endpoints that ended: answered, refused, left (by the caller) or broken_off."},
	{MetricResponseTime, Histogram, "seconds", []string{TagRank, TagOutcome}, directOnly, "Time from such a request to the end of its answer."},
	{MetricFirstResponseTime, Histogram, "seconds", []string{TagRank}, directOnly, "Time from such a request to its first event or whole answer."},
	{MetricQueueWait, Histogram, "seconds", []string{TagRank}, directOnly, "Time that such a request waited for a place."},
	{MetricDirectRetries, Counter, "attempts", []string{TagCode}, directOnly, "Further attempts of such requests: not_run by the last endpoint, begun there, moved off it, or withdrawn, as the endpoint became unavailable before it got the request."},
	{MetricBrokenResponses, Counter, "responses", []string{TagFault}, everywhere, "Bytes of a server that were no response, or a part of one, by what was broken: connection_end (the connection ended, and a response without a length with it, before the request was written whole), status_code (below 100), field_name (no token, in a head or a trailer) or field_line (another malformed line)."},
	{MetricConnectionsMetAgain, Counter, "connections", nil, directOnly, "Connections closed because the request that got them, or one with its ID, had been written there before."},
	{MetricCallerLimits, Counter, "connections", []string{TagLimit}, entryAndDirect, "Connections of callers that were refused or closed at a limit: head_bytes (one header section), memory (what all hold together), connections, or write_time (an answer that is not read)."},
	{MetricDroppedLogLines, Gauge, "lines", nil, directOnly, "Log lines dropped since the start because their rate or queue was over its bound."},
	{MetricMinVersion, Gauge, "version", []string{TagService}, directOnly, "At entries: oldest version of the weights on which requests of the service may begin; 0 allows any."},
	{MetricDeclaredVersion, Gauge, "version", []string{TagService}, directOnly, "Declared version of the weights as the process knows it; 0 while it knows no configuration."},
	{MetricDeclaredVersionAge, Gauge, "seconds", []string{TagService}, directOnly, "Time since a process is known to have read that version first; 0 if none was declared."},
	{MetricLoadedVersion, Gauge, "version", []string{TagService}, directOnly, "At agents: version of the weights that the engine has loaded; 0 for none, and while the engine does not answer."},
	{MetricVersionMandatoryIn, Gauge, "seconds", []string{TagService, TagVersion, TagBasis}, directOnly, "At entries: time until requests may no longer begin on versions before this one, negative since; for the pending versions and the newest mandatory one, at most six, the next due first. Read when the page is served."},
	{MetricLastAttemptAge, Gauge, "seconds", []string{TagService, TagVersion}, directOnly, "At entries: time since a request was last sent to an endpoint that the entry took to have this version; for the four versions with the latest attempts. Read when the page is served."},
	{MetricStoreAnswerAge, Gauge, "seconds", nil, directOnly, "Time since the store last answered the watch, or the full read before it; absent before the first answer. A watch waits for 2 s at entries and 4 s at agents. Read when the page is served."},
	{MetricStoreEra, Gauge, "", nil, directOnly, "Newest era that an answer of the store has named; absent before. It rises when the store comes back from an older copy."},
	{MetricAttemptsByVersion, Counter, "attempts", []string{TagService, TagRelation, TagSource}, directOnly, "Attempts by the relation of the endpoint's version to the minimum version at sending (older, minimum or newer), and by the source of the endpoint's version: report or list."},
	{MetricOutdatedCancellations, Counter, "requests", []string{TagService}, directOnly, "Requests cancelled because they were queued at an endpoint with an outdated version."},
	{MetricVersionCorrections, Counter, "reports", []string{TagService}, directOnly, "Load reports that named an older version of the weights than the entry took the endpoint to have."},
	{MetricRateLimitedEndpoints, Gauge, "endpoints", []string{TagService}, directOnly, "At entries: listed endpoints that announce a limit on their requests per second; absent while none did."},
	{MetricUnavailableEndpoints, Gauge, "endpoints", []string{TagService, TagReason}, directOnly, "At entries: listed endpoints that get no requests, by the reason: leaving (by its responses), draining (by the list), evacuated (its failure domain), resting (asked for a pause), broken (circuit breaker), not_run (turned a request away), closed (by its agent), unreported, unresponsive (silent with its agent), outdated (weights), cold (and this entry may send nothing to cold ones), cold_limited (its share is used) or rate_limited; absent without any. Read when the page is served."},
	{MetricEvacuatedDomains, Gauge, "0 or 1", []string{TagFailureDomain}, directOnly, "At entries: 1 for each failure domain to whose endpoints nothing is sent by order of the operator; absent for others. Read when the page is served."},
	{MetricWithdrawnAttempts, Counter, "attempts", []string{TagReason}, directOnly, "At entries: attempts that were not sent since the endpoint had become unavailable after it was chosen, by the reason: leaving, draining, evacuated, region (the document no longer allows it) or resting."},
	{MetricCancelledConnections, Counter, "connections", []string{TagEnd}, directOnly, "At entries: connections to endpoints that were closed because their request was cancelled before its response was whole, by what the endpoint gets: reset (what has not arrived is dropped) or in_order (all that was written, and the end of the stream; 0 on TCP)."},
	{MetricProbes, Counter, "probes", []string{TagService, TagOutcome}, directOnly, "At entries: probes of endpoints that were silent with their agents, by outcome: answered or failed."},
	{MetricAtSilentAgents, Gauge, "requests", []string{TagService}, directOnly, "At entries: requests at endpoints whose agents have sent no report for 0.45 s. Read when the page is served."},
	{MetricLeftAtSilentAgents, Counter, "requests", []string{TagService}, directOnly, "At entries: requests whose callers left, or whose time ended, while the agent of their endpoint was silent."},
	{MetricColdEndpoints, Gauge, "endpoints", []string{TagService}, directOnly, "At entries: listed endpoints that count as cold and get a limited rate; absent for services whose endpoints are never cold. Read when the page is served."},
	{MetricColdDivisor, Gauge, "entries", nil, directOnly, "At entries: number by which the rate of a cold endpoint is divided, the largest of the last ten minutes; absent until a settled agent names one, and nothing is sent to cold endpoints until then."},
	{MetricColdWithdrawals, Counter, "requests", nil, directOnly, "Requests that were not sent to the chosen endpoint since it turned out to be cold."},
	{MetricRequestsSentAway, Counter, "requests", []string{TagService, TagFailureDomain}, directOnly, "At entries with locality enabled: requests that were sent to another failure domain because the wait in their own was longer than the cost."},
	{MetricBytesSentAway, Counter, "bytes", []string{TagService, TagFailureDomain}, directOnly, "At entries with locality enabled: expected bytes of these requests and their responses."},
	{MetricRequestsKept, Counter, "requests", []string{TagService, TagReason}, directOnly, "At entries with locality enabled: requests that were queued, by what kept them in their own failure domain on arrival: no_offer, part_used (the entry's part of all offers), cost (above the wait), no_endpoint (none there may take the request) or queue (others go before)."},
	{MetricOfferedSlots, Gauge, "slots", []string{TagService, TagFailureDomain}, directOnly, "At entries with locality enabled: part of this entry in the free slots that another failure domain offers."},
	{MetricLeaving, Gauge, "0 or 1", nil, agentOnly, "Whether the agent announces that it leaves."},
}

// Reference returns the page that lists every metric in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nGenerated from the table by `go test ./telemetry -update`.\n\n" +
		"The page `/metrics` holds the gauges of the program first, then its counters, its\nhistograms, and the metrics of the Go runtime and the process (`go_`, `process_`).\n\n")
	b.WriteString("| name | kind | unit | tags | program | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, m := range Metrics {
		fmt.Fprintf(&b, "| `%s_%s` | %s | %s | %s | %s | %s |\n",
			metricPrefix, m.Name, m.Kind, m.Unit, strings.Join(m.Tags, ", "), strings.Join(m.Programs, ", "), m.Meaning)
	}
	return b.String()
}
