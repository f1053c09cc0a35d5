package loadreport

import "encoding/binary"

// Subscription subscribes an entry to an agent's reports for SubscriptionTTL.
type Subscription struct {
	// Demand is the weighted demand of the requests queued at the entry, at most
	// 65,535.
	Demand int
	// Timestamp is echoed in the reports that follow.
	Timestamp Timestamp
}

// Encode returns the subscription as a datagram.
func (s Subscription) Encode() []byte {
	b := binary.BigEndian.AppendUint16([]byte{kindSubscription}, uint16(min(s.Demand, 1<<16-1)))
	return binary.BigEndian.AppendUint16(b, uint16(s.Timestamp))
}

// DecodeSubscription decodes a subscription. It returns *FormatError for any other
// datagram.
func DecodeSubscription(b []byte) (Subscription, error) {
	if len(b) != subscriptionBytes || b[0] != kindSubscription {
		return Subscription{}, &FormatError{Bytes: len(b)}
	}
	return Subscription{
		Demand:    int(binary.BigEndian.Uint16(b[1:])),
		Timestamp: Timestamp(binary.BigEndian.Uint16(b[3:])),
	}, nil
}
