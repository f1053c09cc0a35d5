package loadreport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Strike says that a request was running at an endpoint when that crashed, or that a part
// of its prompt may be to blame, or that it is absolved of this. Entries send strikes to agents, which pass what is new to them on to
// all entries.
type Strike struct {
	// Fingerprint is that of routing.Fingerprint, or for a part that of
	// routing.PartFingerprint.
	Fingerprint uint64
	// Crash identifies the crash; equal ones count once.
	Crash uint64
	// Age is the time since the crash, in steps of 100 ms up to 6,553 s.
	Age time.Duration
	// Part says that the strike is against a part of prompts.
	Part bool
	// Late says that the endpoint had begun to answer.
	Late bool
	// Shared says that several parts of the prompt were equally suspect.
	Shared bool
	// Weak says that the part may have been there by chance. A strike that is sent once more without it is
	// confirmed.
	Weak bool
	// Absolved says that the request ran to its end since, so that the strike is void.
	Absolved bool
}

// Strikes are the strikes of one datagram.
type Strikes []Strike

const (
	// strikeBytes is the length of an encoded Strike: fingerprint, crash, age, flags.
	strikeBytes = 8 + 8 + 2 + 1
	// strikesHeaderBytes is the length of the part before the strikes: kind, signature.
	strikesHeaderBytes = 1 + sha256.Size
	// MaxStrikes is the largest number of strikes in a datagram.
	MaxStrikes = (MaxDatagramBytes - strikesHeaderBytes) / strikeBytes
)

// The flags of a strike.
const (
	absolvedFlag = 1 << iota
	lateFlag
	partFlag
	sharedFlag
	weakFlag
)

// strikesPurpose separates the signatures of strikes from those of other datagrams.
const strikesPurpose = "snipestep strikes"

// IsStrikes reports whether a datagram holds strikes.
func IsStrikes(b []byte) bool {
	return len(b) > 0 && b[0] == kindStrikes
}

// Encode returns the first MaxStrikes strikes as a datagram signed with the fleet key,
// since a forged one would make entries refuse a caller.
func (s Strikes) Encode(fleetKey []byte) []byte {
	s = s[:min(len(s), MaxStrikes)]
	body := make([]byte, 0, len(s)*strikeBytes)
	for _, strike := range s {
		flags := byte(0)
		if strike.Absolved {
			flags |= absolvedFlag
		}
		if strike.Late {
			flags |= lateFlag
		}
		if strike.Part {
			flags |= partFlag
		}
		if strike.Shared {
			flags |= sharedFlag
		}
		if strike.Weak {
			flags |= weakFlag
		}
		body = binary.BigEndian.AppendUint64(body, strike.Fingerprint)
		body = binary.BigEndian.AppendUint64(body, strike.Crash)
		body = binary.BigEndian.AppendUint16(body, encodeAge(strike.Age))
		body = append(body, flags)
	}
	datagram := append([]byte{kindStrikes}, sign(fleetKey, strikesPurpose, body)...)
	return append(datagram, body...)
}

// DecodeStrikes decodes strikes and verifies their signature. It returns *FormatError or
// *SignatureError.
func DecodeStrikes(fleetKey, b []byte) (Strikes, error) {
	if !IsStrikes(b) || len(b) < strikesHeaderBytes || (len(b)-strikesHeaderBytes)%strikeBytes != 0 {
		return nil, &FormatError{Bytes: len(b)}
	}
	signature, body := b[1:strikesHeaderBytes], b[strikesHeaderBytes:]
	if !hmac.Equal(signature, sign(fleetKey, strikesPurpose, body)) {
		return nil, &SignatureError{Bytes: len(b)}
	}
	var strikes Strikes
	for ; len(body) > 0; body = body[strikeBytes:] {
		strikes = append(strikes, Strike{
			Fingerprint: binary.BigEndian.Uint64(body),
			Crash:       binary.BigEndian.Uint64(body[8:]),
			Age:         time.Duration(binary.BigEndian.Uint16(body[16:])) * durationUnit,
			Part:        body[18]&partFlag != 0,
			Late:        body[18]&lateFlag != 0,
			Shared:      body[18]&sharedFlag != 0,
			Weak:        body[18]&weakFlag != 0,
			Absolved:    body[18]&absolvedFlag != 0,
		})
	}
	return strikes, nil
}

// maxAgeUnits is the longest encoded age of a strike, in units of durationUnit.
const maxAgeUnits = 1<<16 - 1

// encodeAge encodes an age in two bytes; a longer one than fits becomes the longest.
func encodeAge(age time.Duration) uint16 {
	return uint16(min(max(age, 0)/durationUnit, maxAgeUnits))
}
