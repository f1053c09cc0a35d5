package loadreport

import "encoding/binary"

// Ask asks an agent for reports.
type Ask struct {
	// Demand is what waits at the entry, in its own weights, up to 65,535.
	Demand int
	// Stamp comes back in the reports that follow.
	Stamp Stamp
}

// Encode returns the ask's datagram.
func (a Ask) Encode() []byte {
	b := binary.BigEndian.AppendUint16([]byte{kindAsk}, uint16(min(a.Demand, 1<<16-1)))
	return binary.BigEndian.AppendUint16(b, uint16(a.Stamp))
}

// DecodeAsk decodes an ask. It returns *FormatError.
func DecodeAsk(b []byte) (Ask, error) {
	if len(b) != askBytes || b[0] != kindAsk {
		return Ask{}, &FormatError{Bytes: len(b)}
	}
	return Ask{
		Demand: int(binary.BigEndian.Uint16(b[1:])),
		Stamp:  Stamp(binary.BigEndian.Uint16(b[3:])),
	}, nil
}
