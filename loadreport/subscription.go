package loadreport

import "encoding/binary"

// Subscription subscribes an entry to an agent's reports for SubscriptionTTL.
type Subscription struct {
	// Demand is the weighted demand of the requests queued at the entry, at most
	// 65,535.
	Demand int
	// Timestamp is echoed in the reports that follow.
	Timestamp Timestamp
	// SameRegion says that the entry is in the agent's region.
	SameRegion bool
	// OffersEngines says that the entry follows the endpoint list and sends an EngineList on
	// request.
	OffersEngines bool
}

// The flags of a subscription.
const (
	sameRegionFlag = 1 << iota
	offersEnginesFlag
)

// Encode returns the subscription as a datagram.
func (s Subscription) Encode() []byte {
	flags := byte(0)
	if s.SameRegion {
		flags |= sameRegionFlag
	}
	if s.OffersEngines {
		flags |= offersEnginesFlag
	}
	b := binary.BigEndian.AppendUint16([]byte{kindSubscription, flags}, uint16(min(s.Demand, 1<<16-1)))
	return binary.BigEndian.AppendUint16(b, uint16(s.Timestamp))
}

// DecodeSubscription decodes a subscription. It returns *FormatError for any other
// datagram.
func DecodeSubscription(b []byte) (Subscription, error) {
	if len(b) != subscriptionBytes || b[0] != kindSubscription {
		return Subscription{}, &FormatError{Bytes: len(b)}
	}
	return Subscription{
		SameRegion:    b[1]&sameRegionFlag != 0,
		OffersEngines: b[1]&offersEnginesFlag != 0,
		Demand:        int(binary.BigEndian.Uint16(b[2:])),
		Timestamp:     Timestamp(binary.BigEndian.Uint16(b[4:])),
	}, nil
}
