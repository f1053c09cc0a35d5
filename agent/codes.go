package agent

// The codes of refusals and of broken attempts, on which entries act.
const (
	CodeBusy             = "busy"
	CodePatienceExceeded = "patience"
	CodeDraining         = "draining"
	CodeWrongModel       = "wrong_model"
	CodeBadRequest       = "bad_request"
	CodeNotStarted       = "not_started"
	CodeNoEndpoint       = "no_endpoint"
	CodeCrash            = "endpoint_crash"
	CodeMoved            = "moved"
	CodeOutcomeUnknown   = "outcome_unknown"
	// CodeNoRoom ends an attempt whose answer found no room in memory. It says nothing of the
	// endpoint or of the request.
	CodeNoRoom            = "no_room"
	CodeStaleFence        = "stale_fence"
	CodeWeightsIncomplete = "incomplete"
	CodeOtherOrderRunning = "other_order_running"
	CodeUnknownOrder      = "unknown_order"
)
