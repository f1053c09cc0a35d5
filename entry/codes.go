package entry

// The codes of refusals, beside those of agents.
const (
	CodeUnauthorised    = "unauthorised"
	CodeBadRequest      = "bad_request"
	CodeTooLarge        = "body_too_large"
	CodeUnknownModel    = "unknown_model"
	CodeUnknownService  = "unknown_operation"
	CodeQuarantined     = "quarantined"
	CodeOverload        = "overload"
	CodeBroken          = "broken"
	CodeDeadline        = "deadline"
	CodeClaimHeld       = "idempotency_key_in_use"
	CodeClaimMismatch   = "idempotency_key_reused"
	CodeClaimStore      = "claims_unavailable"
	CodeKeyMissing      = "idempotency_key_missing"
	CodeLeaving         = "leaving"
	CodeContentType     = "content_type"
	CodeMethod          = "method_not_allowed"
	CodeVersionGone     = "version_gone"
	CodeRetriesExceeded = "retries_exceeded"
)
