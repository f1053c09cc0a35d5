package operator

// Codes of problem documents, with their HTTP statuses.
const (
	CodeUnauthorised     = "unauthorised"      // 401
	CodeNotFound         = "not-found"         // 404
	CodeMethodNotAllowed = "method"            // 405
	CodeMediaType        = "media-type"        // 415
	CodeTooLarge         = "too-large"         // 413
	CodeMalformed        = "malformed"         // 400
	CodeInvalid          = "invalid"           // 422
	CodeModelUnknown     = "model-unknown"     // 422
	CodeNoMatch          = "no-match"          // 422
	CodePlanTooLarge     = "plan-too-large"    // 422
	CodePlanUnknown      = "plan-unknown"      // 404
	CodePlanStale        = "plan-stale"        // 409
	CodeConflict         = "conflict"          // 409
	CodeCapacity         = "capacity"          // 409
	CodeCommitUnknown    = "commit-unknown"    // 503
	CodeBusy             = "busy"              // 503
	CodeStoreUnavailable = "store-unavailable" // 503
	CodeTimeout          = "timeout"           // 504
	CodeInternal         = "internal"          // 500
)
