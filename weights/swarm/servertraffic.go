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

// maxInstanceLength bounds the name of an instance in a hello in bytes.
const maxInstanceLength = 256

// OnTraffic implements gnet.EventHandler. It handles every whole frame that
// has arrived.
func (s *server) OnTraffic(conn gnet.Conn) gnet.Action {
	c, ok := conn.Context().(*serverConn)
	if !ok {
		return gnet.Close
	}
	for {
		message, size, err := nextClientFrame(conn)
		if errors.Is(err, io.ErrShortBuffer) {
			return gnet.None
		}
		if err == nil {
			s.metrics.controlBytes.Inc(int64(size))
			err = s.handle(c, message)
		}
		if err != nil {
			s.reject(conn, err)
			return gnet.Close
		}
	}
}

func (s *server) reject(conn gnet.Conn, err error) {
	if errors.Is(err, ErrNotAuthentic) {
		s.metrics.rejected.Inc(1)
	} else {
		s.metrics.malformed.Inc(1)
	}
	s.deps.Logger.Warn("closing chunk connection", "remote", conn.RemoteAddr().String(), "error", err)
}

// nextClientFrame takes one frame, or returns io.ErrShortBuffer until it has
// arrived.
func nextClientFrame(conn gnet.Conn) (*wire.ChunkClientFrame, int, error) {
	header, err := conn.Peek(frameHeaderSize)
	if err != nil {
		return nil, 0, err
	}
	length, _, err := decodeFrameHeader(header, maxClientMessage, 0)
	if err != nil {
		return nil, 0, err
	}
	size := frameHeaderSize + length
	data, err := conn.Peek(size)
	if err != nil {
		return nil, 0, err
	}
	message := new(wire.ChunkClientFrame)
	if err := proto.Unmarshal(data[frameHeaderSize:], message); err != nil {
		return nil, 0, &FrameError{Detail: err.Error()}
	}
	_, err = conn.Discard(size)
	return message, size, err
}

func (s *server) handle(c *serverConn, message *wire.ChunkClientFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lastRead = time.Now()
	if hello := message.GetHello(); hello != nil {
		return s.handleHello(c, hello)
	}
	if c.serving == nil {
		return ErrNotAuthentic
	}
	switch frame := message.Frame.(type) {
	case *wire.ChunkClientFrame_Request:
		return s.handleRequest(c, frame.Request)
	case *wire.ChunkClientFrame_Ack:
		s.endUpload(c, frame.Ack.Index)
	case *wire.ChunkClientFrame_Cancel:
		delete(c.waiting, frame.Cancel.Index)
	case *wire.ChunkClientFrame_Ping:
	default:
		return &FrameError{Detail: "no message"}
	}
	return nil
}

func (s *server) handleHello(c *serverConn, hello *wire.ChunkHello) error {
	if c.serving != nil {
		return &FrameError{Detail: "second hello"}
	}
	if len(hello.Manifest) != core.DigestSize || len(hello.Nonce) != nonceSize || len(hello.Instance) > maxInstanceLength {
		return &FrameError{Detail: "bad hello"}
	}
	want := proof(s.deps.FleetKey, clientLabel, c.nonce, hello.Nonce, []byte(hello.Instance), hello.Manifest)
	if !hmac.Equal(want, hello.Proof) {
		return ErrNotAuthentic
	}
	c.watch = hello.Watch
	c.serving = s.serving(core.Digest(hello.Manifest))
	c.serving.conns[c] = struct{}{}
	s.send(c, welcomeFrame(proof(s.deps.FleetKey, serverLabel, hello.Nonce, c.nonce)))
	if c.serving.set != nil {
		s.announceAll(c)
	}
	return nil
}

func (s *server) handleRequest(c *serverConn, request *wire.ChunkRequest) error {
	if len(c.running)+len(c.waiting) >= s.cfg.MaxRequests {
		return &FrameError{Detail: "too many requests"}
	}
	set := c.serving.set
	if request.Index >= weights.MaxChunks || (set != nil && int(request.Index) >= set.Len()) {
		return &FrameError{Detail: "chunk does not exist"}
	}
	if _, ok := c.running[request.Index]; ok {
		return nil
	}
	if set != nil && set.Has(int(request.Index)) {
		s.serve(c, request.Index, uploadPriority(request))
		return nil
	}
	if !request.Wait {
		s.refuseMissing(c, request.Index)
		return nil
	}
	c.waiting[request.Index] = time.Now().Add(s.cfg.WaitTimeout)
	return nil
}

// uploadPriority reads the priority of a request. Only fetchers of other
// regions wait.
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

// serve sends a held chunk or refuses to.
func (s *server) serve(c *serverConn, index uint32, priority weights.UploadPriority) {
	v := c.serving
	switch v.uploads.Admit(time.Now(), int(index), v.set.Count(), priority) {
	case weights.UploadBusy:
		s.refuse(c, index, wire.ChunkRefusalReason_CHUNK_REFUSAL_BUSY)
		return
	case weights.UploadSpread:
		s.refuse(c, index, wire.ChunkRefusalReason_CHUNK_REFUSAL_SPREAD)
		return
	case weights.UploadServe:
	}
	data, _ := v.set.Get(int(index))
	c.running[index] = struct{}{}
	s.metrics.chunksSent.Inc(1)
	s.metrics.bytesSent.Inc(int64(len(data)))
	c.send(dataFrame(index, v.uploads.Served()), data)
}

func (s *server) refuseMissing(c *serverConn, index uint32) {
	s.refuse(c, index, wire.ChunkRefusalReason_CHUNK_REFUSAL_MISSING)
}

func (s *server) refuse(c *serverConn, index uint32, reason wire.ChunkRefusalReason) {
	served := 0
	if c.serving.uploads != nil {
		served = c.serving.uploads.Served()
	}
	s.metrics.refused.Inc(1)
	s.send(c, refusalFrame(index, reason, served))
}

func (s *server) endUpload(c *serverConn, index uint32) {
	if _, ok := c.running[index]; !ok {
		return
	}
	delete(c.running, index)
	c.serving.uploads.Done(1)
}

// send sends a control frame.
func (s *server) send(c *serverConn, message proto.Message) {
	s.metrics.controlBytes.Inc(int64(c.send(message, nil)))
}
