package loadreport

import "encoding/binary"

// Ask subscribes an entry to an agent's reports for SubscriptionTTL.
type Ask struct {
	// Demand is the weighted demand of the requests queued at the entry, at most
	// 65,535.
	Demand int
	// Stamp is echoed in the reports that follow.
	Stamp Timestamp
}

// Encode returns the subscription as a datagram.
func (s Ask) Encode() []byte {
	b := binary.BigEndian.AppendUint16([]byte{kindSubscription}, uint16(min(s.Demand, 1<<16-1)))
	return binary.BigEndian.AppendUint16(b, uint16(s.Stamp))
}

// DecodeAsk decodes a subscription. It returns *FormatError.
func DecodeAsk(b []byte) (Ask, error) {
	if len(b) != subscriptionBytes || b[0] != kindSubscription {
		return Ask{}, &FormatError{Bytes: len(b)}
	}
	return Ask{
		Demand: int(binary.BigEndian.Uint16(b[1:])),
		Stamp:  Timestamp(binary.BigEndian.Uint16(b[3:])),
	}, nil
}
