package intent

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// ErrManifestMissing reports a place intent whose manifest was not resolved.
var ErrManifestMissing = eris.New("the manifest of the model's version is not resolved")

// IntentError reports a value that an intent may not hold.
type IntentError struct { //nolint:revive // The name says what is wrong.
	Field  string
	Detail string
}

// Error implements error.
func (e *IntentError) Error() string {
	return fmt.Sprintf("intent: %s: %s", e.Field, e.Detail)
}

func invalid(field, format string, args ...any) error {
	return &IntentError{Field: field, Detail: fmt.Sprintf(format, args...)}
}

// NoMatchError reports a selector that matches no endpoint that the intent
// would change.
type NoMatchError struct {
	Kind     Kind
	Selector Selector
}

// Error implements error.
func (e *NoMatchError) Error() string {
	return fmt.Sprintf("%s: no endpoint to change matches %s", e.Kind, e.Selector)
}

// CapacityError reports a plan that would break guaranteed capacity.
type CapacityError struct {
	Workload string // Name of the model or plain service.
	Wave     int    // Counts from 1.
	Unit     string // CapacitySlots or CapacityEndpoints.
	Left     int
	Need     int
}

// The values of CapacityError.Unit.
const (
	CapacitySlots     = "slots"
	CapacityEndpoints = "endpoints"
)

// Error implements error.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("wave %d would leave %d %s of %q, %d are needed", e.Wave, e.Left, e.Unit, e.Workload, e.Need)
}

// StaleReason says which part of a plan's premise moved.
type StaleReason string

// The reasons for a stale plan.
const (
	StaleGeneration StaleReason = "generation"
	StaleInstances  StaleReason = "instances"
	StaleCapacity   StaleReason = "capacity"
)

// StalePlanError reports a plan whose premise no longer holds.
type StalePlanError struct {
	Plan   string
	Reason StaleReason
	// Premise and Actual are generations, WinningPlan made the actual one.
	Premise     core.Generation
	Actual      core.Generation
	WinningPlan string
	// Instances left, are leaving or moved since.
	Instances []core.InstanceID
}

// Error implements error.
func (e *StalePlanError) Error() string {
	switch e.Reason {
	case StaleGeneration:
		return fmt.Sprintf("plan %q rests on generation %d, plan %q made generation %d", e.Plan, e.Premise, e.WinningPlan, e.Actual)
	case StaleInstances:
		return fmt.Sprintf("plan %q names instances that changed since: %v", e.Plan, e.Instances)
	}
	return fmt.Sprintf("plan %q would now leave too little capacity", e.Plan)
}

// PlanFormatError reports bytes that are not an encoded plan.
type PlanFormatError struct {
	Cause error
}

// Error implements error.
func (e *PlanFormatError) Error() string {
	return fmt.Sprintf("plan does not decode: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *PlanFormatError) Unwrap() error {
	return e.Cause
}

// PlanSizeError reports an encoded plan above MaxPlanBytes.
type PlanSizeError struct {
	Bytes int
}

// Error implements error.
func (e *PlanSizeError) Error() string {
	return fmt.Sprintf("plan has %d bytes, at most %d are allowed", e.Bytes, MaxPlanBytes)
}
