package swarm

import (
	"crypto/hmac"
	"errors"
	"io"
	"time"

	"github.com/panjf2000/gnet/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

// maxInstanceIDBytes limits the instance ID in a hello.
const maxInstanceIDBytes = 256

// OnTraffic implements gnet.EventHandler. It handles every complete frame that
// has arrived.
func (s *server) OnTraffic(conn gnet.Conn) gnet.Action {
	c, ok := conn.Context().(*serverConn)
	if !ok {
		return gnet.Close
	}
	for {
		message, size, err := readClientFrame(conn)
		if errors.Is(err, io.ErrShortBuffer) {
			return gnet.None
		}
		if err == nil {
			s.metrics.controlBytes.Inc(int64(size))
			err = s.handleFrame(c, message)
		}
		if err != nil {
			s.reportRejection(conn, err)
			return gnet.Close
		}
	}
}

func (s *server) reportRejection(conn gnet.Conn, err error) {
	if errors.Is(err, ErrAuthenticationFailed) {
		s.metrics.rejected.Inc(1)
	} else {
		s.metrics.malformed.Inc(1)
	}
	s.deps.Logger.Warn("closing chunk connection", "remote", conn.RemoteAddr().String(), "error", err)
}

// readClientFrame reads one frame and returns its size. It returns
// io.ErrShortBuffer until the complete frame has arrived.
func readClientFrame(conn gnet.Conn) (*wire.ChunkClientFrame, int, error) {
	header, err := conn.Peek(frameHeaderSize)
	if err != nil {
		return nil, 0, err
	}
	length, _, err := decodeFrameHeader(header, maxClientMessageBytes, 0)
	if err != nil {
		return nil, 0, err
	}
	size := frameHeaderSize + length
	frame, err := conn.Peek(size)
	if err != nil {
		return nil, 0, err
	}
	message := new(wire.ChunkClientFrame)
	if err := proto.Unmarshal(frame[frameHeaderSize:], message); err != nil {
		return nil, 0, &FrameError{Detail: err.Error()}
	}
	_, err = conn.Discard(size)
	return message, size, err
}

func (s *server) handleFrame(c *serverConn, message *wire.ChunkClientFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lastFrameAt = time.Now()
	if hello := message.GetHello(); hello != nil {
		return s.handleHello(c, hello)
	}
	if c.manifest == nil {
		return ErrAuthenticationFailed
	}
	switch frame := message.Frame.(type) {
	case *wire.ChunkClientFrame_Request:
		return s.handleRequest(c, frame.Request)
	case *wire.ChunkClientFrame_Ack:
		s.endUpload(c, frame.Ack.Index)
	case *wire.ChunkClientFrame_Cancel:
		delete(c.pendingRequests, frame.Cancel.Index)
	case *wire.ChunkClientFrame_Ping:
	default:
		return &FrameError{Detail: "unknown message"}
	}
	return nil
}

func (s *server) handleHello(c *serverConn, hello *wire.ChunkHello) error {
	if c.manifest != nil {
		return &FrameError{Detail: "second hello"}
	}
	if len(hello.Manifest) != core.DigestSize || len(hello.Nonce) != nonceSize || len(hello.Instance) > maxInstanceIDBytes {
		return &FrameError{Detail: "field of hello has a wrong length"}
	}
	wantProof := proof(s.deps.FleetKey, clientLabel, c.nonce, hello.Nonce, []byte(hello.Instance), hello.Manifest)
	if !hmac.Equal(wantProof, hello.Proof) {
		return ErrAuthenticationFailed
	}
	c.watch = hello.Watch
	c.manifest = s.manifest(core.Digest(hello.Manifest))
	c.manifest.conns[c] = struct{}{}
	s.sendControl(c, welcomeFrame(proof(s.deps.FleetKey, serverLabel, hello.Nonce, c.nonce)))
	if c.manifest.set != nil {
		s.sendBitmap(c)
	}
	return nil
}

func (s *server) handleRequest(c *serverConn, request *wire.ChunkRequest) error {
	if len(c.activeUploads)+len(c.pendingRequests) >= s.cfg.MaxRequestsPerConn {
		return &FrameError{Detail: "too many open requests"}
	}
	set := c.manifest.set
	if request.Index >= weights.MaxChunks || (set != nil && int(request.Index) >= set.Len()) {
		return &FrameError{Detail: "chunk does not exist"}
	}
	if _, ok := c.activeUploads[request.Index]; ok {
		return nil
	}
	if set != nil && set.Has(int(request.Index)) {
		s.sendChunk(c, request.Index, uploadPriority(request))
		return nil
	}
	if !request.Wait {
		s.refuseMissing(c, request.Index)
		return nil
	}
	c.pendingRequests[request.Index] = time.Now().Add(s.cfg.PendingRequestTimeout)
	return nil
}

// uploadPriority returns the priority of a request. Only fetchers of other
// regions set Wait.
func uploadPriority(request *wire.ChunkRequest) weights.UploadPriority {
	switch {
	case request.Wait:
		return weights.UploadRegion
	case request.Urgent:
		return weights.UploadUrgent
	default:
		return weights.UploadNormal
	}
}

// sendChunk sends a stored chunk or refuses the request.
func (s *server) sendChunk(c *serverConn, index uint32, priority weights.UploadPriority) {
	m := c.manifest
	switch m.uploads.Admit(time.Now(), int(index), m.set.Count(), priority) {
	case weights.UploadBusy:
		s.refuse(c, index, wire.ChunkRefusalReason_CHUNK_REFUSAL_BUSY)
		return
	case weights.UploadSpread:
		s.refuse(c, index, wire.ChunkRefusalReason_CHUNK_REFUSAL_SPREAD)
		return
	case weights.UploadServe:
	}
	data, _ := m.set.Get(int(index))
	c.activeUploads[index] = struct{}{}
	s.metrics.chunksSent.Inc(1)
	s.metrics.bytesSent.Inc(int64(len(data)))
	c.send(dataFrame(index, m.uploads.Served()), data)
}

func (s *server) refuseMissing(c *serverConn, index uint32) {
	s.refuse(c, index, wire.ChunkRefusalReason_CHUNK_REFUSAL_MISSING)
}

func (s *server) refuse(c *serverConn, index uint32, reason wire.ChunkRefusalReason) {
	served := 0
	if c.manifest.uploads != nil {
		served = c.manifest.uploads.Served()
	}
	s.metrics.refused.Inc(1)
	s.sendControl(c, refusalFrame(index, reason, served))
}

func (s *server) endUpload(c *serverConn, index uint32) {
	if _, ok := c.activeUploads[index]; !ok {
		return
	}
	delete(c.activeUploads, index)
	c.manifest.uploads.Done(1)
}

// sendControl sends a control frame.
func (s *server) sendControl(c *serverConn, message proto.Message) {
	s.metrics.controlBytes.Inc(int64(c.send(message, nil)))
}
