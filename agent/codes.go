package agent

// The codes of refusals and of broken attempts, as entries act on them.
const (
	CodeBusy         = "busy"
	CodePatience     = "patience"
	CodeDraining     = "draining"
	CodeWrongModel   = "wrong_model"
	CodeBadRequest   = "bad_request"
	CodeNotStarted   = "not_started"
	CodeNoEndpoint   = "no_endpoint"
	CodeCrash        = "endpoint_crash"
	CodeMoved        = "moved"
	CodeUnknown      = "outcome_unknown"
	CodeStaleFence   = "stale_fence"
	CodeIncomplete   = "incomplete"
	CodeOtherOrder   = "other_order_running"
	CodeUnknownOrder = "unknown_order"
)
