package intent

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// MaxPlanBytes is the maximum size of an encoded Plan.
const MaxPlanBytes = 1 << 20

// PlanKeyPrefix is the prefix of the keys under which plans are stored.
const PlanKeyPrefix = "plans/"

// PlanKey returns the key under which a plan is stored.
func PlanKey(id string) string {
	return PlanKeyPrefix + id
}

// Plan describes what confirming an intent would do, and the state of the fleet
// that it assumes.
type Plan struct {
	ID        string    `json:"id"`
	Intent    Intent    `json:"intent"`
	CreatedAt time.Time `json:"created_at"`
	// Generation and ViewHash are the state that the plan assumes.
	Generation core.Generation `json:"generation"`
	ViewHash   core.Digest     `json:"view_hash"`
	// Next is the document that the plan creates, with generation Generation+1.
	Next *fleet.Document `json:"next"`
	// Changes are the differences between the document of Generation and Next.
	Changes []Change `json:"changes"`
	Waves   []Wave   `json:"waves"`
	// CapacityNow is the capacity of each rank before the first wave.
	CapacityNow []RankCapacity `json:"capacity_now"`
	// OriginBytes is the number of bytes that the origin sends.
	OriginBytes int64 `json:"origin_bytes"`
	// RegionLinkBytes is the total number of bytes over links between regions.
	RegionLinkBytes int64 `json:"region_link_bytes"`
	// EstimatedMS is the estimated time from confirmation to the end of the last
	// wave.
	EstimatedMS int64    `json:"estimated_ms"`
	Warnings    []string `json:"warnings,omitempty"`
}

// Wave is a set of steps that run at the same time.
type Wave struct {
	Instances []core.InstanceID `json:"instances"`
	Steps     []Step            `json:"steps"`
	// CapacityLeft is the capacity of each rank while the wave runs, most urgent
	// first.
	CapacityLeft []RankCapacity `json:"capacity_left"`
	EstimatedMS  int64          `json:"estimated_ms"`
}

// Step is the same action at Count instances of a wave.
type Step struct {
	Kind       OrderKind     `json:"kind"`
	Model      core.ModelRef `json:"model"`
	Adapters   []string      `json:"adapters,omitempty"`
	EngineRole string        `json:"engine_role,omitempty"`
	Count      int           `json:"count"`
}

// RankCapacity is the capacity available to a rank.
type RankCapacity struct {
	Rank core.Rank `json:"rank"`
	// Slots is how many slots the rank may use while the other ranks are idle.
	Slots int `json:"slots"`
	// Guaranteed is how many slots are reserved for the rank.
	Guaranteed int `json:"guaranteed"`
}

// Encode returns the plan as JSON. It returns *PlanSizeError.
func (p *Plan) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, eris.Wrap(err, "encode plan")
	}
	if len(data) > MaxPlanBytes {
		return nil, &PlanSizeError{Bytes: len(data)}
	}
	return data, nil
}

// DecodePlan decodes an encoded plan and validates its document. It returns
// *PlanSizeError, *PlanFormatError or *fleet.DocumentError.
func DecodePlan(data []byte) (*Plan, error) {
	if len(data) > MaxPlanBytes {
		return nil, &PlanSizeError{Bytes: len(data)}
	}
	var p Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, &PlanFormatError{Cause: err}
	}
	if p.Next == nil {
		return nil, &PlanFormatError{Cause: ErrNoDocument}
	}
	if err := p.Next.Validate(); err != nil {
		return nil, err
	}
	return &p, nil
}

// ErrNoDocument reports an encoded plan without a document.
var ErrNoDocument = eris.New("the plan has no document")
