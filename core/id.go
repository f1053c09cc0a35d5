package core

// InstanceID identifies one instance: an entry, or an endpoint with its agent.
// A replacement gets a new InstanceID.
type InstanceID string

// OrganisationID identifies the organisation a caller belongs to.
type OrganisationID string

// Generation is the number of a configuration document. It only increases; 0
// means none.
type Generation uint64

// Fence is a fencing number. Orders with a lower number than the highest one
// seen are refused.
type Fence uint64
