package intent

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// ErrManifestMissing reports a place intent without a resolved manifest.
var ErrManifestMissing = eris.New("the manifest of the model's version is not resolved")

// IntentError reports an invalid value in an intent.
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

// NoMatchError reports an intent whose selector matches no endpoint to change.
type NoMatchError struct {
	Kind     Kind
	Selector Selector
}

// Error implements error.
func (e *NoMatchError) Error() string {
	return fmt.Sprintf("%s: no endpoint to change matches %s", e.Kind, e.Selector)
}

// CapacityError reports a plan that would leave a workload less capacity than it
// needs.
type CapacityError struct {
	Workload string // Name of the model or plain service.
	Wave     int    // Starts at 1.
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

// StaleReason says which assumption of a plan no longer holds.
type StaleReason string

// The reasons for a stale plan.
const (
	StaleGeneration StaleReason = "generation"
	StaleInstances  StaleReason = "instances"
	StaleCapacity   StaleReason = "capacity"
)

// StalePlanError reports a plan whose assumptions no longer hold.
type StalePlanError struct {
	Plan   string
	Reason StaleReason
	// BaseGeneration is the generation that the plan was made for,
	// CurrentGeneration that of the document now. WinningPlan created the
	// generation after BaseGeneration.
	BaseGeneration    core.Generation
	CurrentGeneration core.Generation
	WinningPlan       string
	// Instances are those that have left or are leaving since the plan was made.
	// Instances that only changed their location are not included.
	Instances []core.InstanceID
}

// Error implements error.
func (e *StalePlanError) Error() string {
	switch e.Reason {
	case StaleGeneration:
		return fmt.Sprintf("plan %q rests on generation %d, plan %q made generation %d", e.Plan, e.BaseGeneration, e.WinningPlan, e.CurrentGeneration)
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
	return fmt.Sprintf("plan cannot be decoded: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *PlanFormatError) Unwrap() error {
	return e.Cause
}

// PlanSizeError reports an encoded plan larger than MaxPlanBytes.
type PlanSizeError struct {
	Bytes int
}

// Error implements error.
func (e *PlanSizeError) Error() string {
	return fmt.Sprintf("plan has %d bytes, at most %d are allowed", e.Bytes, MaxPlanBytes)
}
