package core

// Location says where an instance runs. A failure domain belongs to one
// region, a rack to one failure domain.
type Location struct {
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack,omitempty"`
}
