package telemetry

// The names of all metrics. Metrics describes them.
const (
	MetricCalls                   = "calls_total"
	MetricRefusals                = "refusals_total"
	MetricTimeToFirstToken        = "first_token_seconds"
	MetricWaitingCalls            = "waiting_calls"
	MetricRetries                 = "retries_total"
	MetricResumes                 = "resumes_total"
	MetricDroppedAnswers          = "dropped_answers_total"
	MetricQuarantinedFingerprints = "quarantined_fingerprints"
	MetricStrikes                 = "strikes_total"
	MetricClaims                  = "claims_total"
	MetricConfigGeneration        = "config_generation"
	MetricKnownInstances          = "known_instances"
	MetricSessions                = "sessions"
	MetricProtocolFaults          = "protocol_faults_total"
	MetricDatagramsSent           = "datagrams_sent_total"
	MetricDatagramsReceived       = "datagrams_received_total"
	MetricDatagramsRejected       = "datagrams_rejected_total"
	MetricControlBytes            = "control_bytes_total"
	MetricStoreCalls              = "store_calls_total"
	MetricStoreErrors             = "store_errors_total"
	MetricPlanLeaseHeld           = "plan_lease_held"
	MetricPlanSteps               = "plan_steps_total"
	MetricRunningCalls            = "running_calls"
	MetricQueuedCalls             = "queued_calls"
	MetricPreemptions             = "preemptions_total"
	MetricEndpointErrors          = "endpoint_errors_total"
	MetricChunkBytesFetched       = "chunk_bytes_fetched_total"
	MetricChunkBytesServed        = "chunk_bytes_served_total"
	MetricCorruptChunks           = "corrupt_chunks_total"
	MetricChunksFetched           = "chunks_fetched_total"
	MetricChunksServed            = "chunks_served_total"
	MetricRegionChunkBytes        = "region_chunk_bytes_total"
	MetricChunkControlBytes       = "chunk_control_bytes_total"
	MetricChunkFaults             = "chunk_faults_total"
	MetricWeightsVerified         = "weights_verified_ratio"
	MetricOrders                  = "orders_total"
	MetricServing                 = "serving"
	MetricLeaving                 = "leaving"
	MetricDirectRequests          = "requests_total"
	MetricResponseTime            = "whole_answer_seconds"
	MetricFirstResponseTime       = "first_answer_seconds"
	MetricQueueWait               = "held_seconds"
	MetricDirectRetries           = "repeats_total"
	MetricDroppedLogLines         = "log_lines_dropped"
	MetricMinVersion              = "minimum_version"
	MetricDeclaredVersion         = "declared_version"
	MetricDeclaredVersionAge      = "declared_version_age_seconds"
	MetricLoadedVersion           = "loaded_version"
)

// The tags of metrics.
const (
	TagRank    = "rank"
	TagOutcome = "outcome"
	TagCode    = "code"
	TagRun     = "run"
	TagSource  = "source"
	TagCall    = "call"
	TagOrder   = "order"
	TagFault   = "fault"
	TagService = "service"
)

// The programs that report metrics.
const (
	ProgramEntry = "snipestep-entry"
	ProgramAgent = "snipestep-agent"
	// ProgramDirect runs both roles on the users' platform.
	ProgramDirect = "snipestep-direct"
)
