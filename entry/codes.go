package entry

// The codes of refusals by the entry; agents have their own.
const (
	CodeUnauthorised      = "unauthorised"
	CodeBadRequest        = "bad_request"
	CodeBodyTooLarge      = "body_too_large"
	CodeUnknownModel      = "unknown_model"
	CodeUnknownOperation  = "unknown_operation"
	CodeQuarantined       = "quarantined"
	CodeOverload          = "overload"
	CodeBroken            = "broken"
	CodeDeadline          = "deadline"
	CodeClaimHeld         = "idempotency_key_in_use"
	CodeClaimMismatch     = "idempotency_key_reused"
	CodeClaimsUnavailable = "claims_unavailable"
	CodeKeyMissing        = "idempotency_key_missing"
	CodeLeaving           = "leaving"
	CodeContentType       = "content_type"
	CodeMethodNotAllowed  = "method_not_allowed"
	CodeVersionGone       = "version_gone"
	CodeRetriesExceeded   = "retries_exceeded"
	CodeCallersMemory     = "callers_memory"
)
