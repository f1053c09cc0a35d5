package core

// InstanceID names one instance: an entry, or an endpoint with its agent.
// A replacement gets a new InstanceID.
type InstanceID string

// OrganisationID names the organisation a caller belongs to.
type OrganisationID string

// Generation numbers configuration documents. It only grows; 0 means none.
type Generation uint64

// Fence is a fencing number. Orders with a lower number than the highest one
// seen are refused.
type Fence uint64
