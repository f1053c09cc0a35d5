package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
)

const (
	nonceSize        = 16 // Bytes.
	handshakeTimeout = 5 * time.Second
	maxHelloSize     = 1 << 10 // Bytes.
)

// Each side signs with its own label, so that a peer cannot authenticate by
// reflecting the proof it received.
const (
	labelDialler  = "snipestep dialler"
	labelAcceptor = "snipestep acceptor"
)

// handshake authenticates both sides of conn. It returns the peer's hello, or
// *HandshakeError.
func handshake(conn net.Conn, self Identity, dialler bool) (*Hello, error) {
	peerHello, err := exchangeHello(conn, self, dialler)
	if err != nil {
		return nil, &HandshakeError{Peer: conn.RemoteAddr().String(), Cause: err}
	}
	return peerHello, nil
}

func exchangeHello(conn net.Conn, self Identity, dialler bool) (*Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	ownHello := &Hello{Instance: string(self.Instance), Incarnation: self.Incarnation, Nonce: nonce}
	if _, err := protodelim.MarshalTo(conn, ownHello); err != nil {
		return nil, err
	}
	reader := byteReader{conn}
	peerHello := &Hello{}
	if err := unmarshalHello(reader, peerHello); err != nil {
		return nil, err
	}
	ownLabel, peerLabel := labelDialler, labelAcceptor
	if !dialler {
		ownLabel, peerLabel = peerLabel, ownLabel
	}
	proof := &Hello{Proof: sessionProof(self.FleetKey, ownLabel, ownHello, peerHello)}
	if _, err := protodelim.MarshalTo(conn, proof); err != nil {
		return nil, err
	}
	peerProof := &Hello{}
	if err := unmarshalHello(reader, peerProof); err != nil {
		return nil, err
	}
	if !hmac.Equal(peerProof.Proof, sessionProof(self.FleetKey, peerLabel, peerHello, ownHello)) {
		return nil, ErrBadTag
	}
	return peerHello, conn.SetDeadline(time.Time{})
}

func unmarshalHello(r protodelim.Reader, h *Hello) error {
	return protodelim.UnmarshalOptions{MaxSize: maxHelloSize}.UnmarshalFrom(r, h)
}

// sessionProof returns the HMAC under key of the label, the instance ID of the
// signer and the nonces of both sides.
func sessionProof(key []byte, label string, signer, verifier *Hello) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write([]byte{0})
	mac.Write([]byte(signer.Instance))
	mac.Write([]byte{0})
	mac.Write(signer.Nonce)
	mac.Write(verifier.Nonce)
	return mac.Sum(nil)
}

// byteReader reads single bytes without buffering, because bytes read ahead
// would be lost to the session that follows.
type byteReader struct {
	net.Conn
}

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}
