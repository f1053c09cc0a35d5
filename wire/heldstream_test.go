package wire

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/heldbytes"
)

// openEvents returns a stream on which the peer sends answers with bodies of the sizes, and its
// session.
func openEvents(t *testing.T, sizes ...int) (*Session, *Stream) {
	t.Helper()
	handler := func(_ context.Context, _ *Session, stream *Stream, _ *StreamHeader) {
		for _, size := range sizes {
			event := &CallEvent{Event: &CallEvent_Done{Done: &CallDone{Body: bytes.Repeat([]byte("x"), size)}}}
			if stream.Send(event) != nil {
				return
			}
		}
	}
	l, err := Listen("127.0.0.1:0", Identity{Instance: "b", FleetKey: testKey}, handler, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	session, err := Dial(t.Context(), dialTCP, l.Addr(), Identity{Instance: "a", FleetKey: testKey}, handler)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	return session, openStream(t, session)
}

func openStream(t *testing.T, session *Session) *Stream {
	t.Helper()
	stream, err := session.OpenStream(&StreamHeader{Request: &StreamHeader_Status{Status: &StatusRequest{}}})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// Guards against messages that are cut or counted by another size than that of what is kept.
func TestHeldMessagesArriveWhole(t *testing.T) {
	sizes := []int{0, 1, streamReadBuffer - 10, streamReadBuffer, streamReadBuffer + 1, 2 << 10, 64 << 10, 8 << 20}
	_, stream := openEvents(t, sizes...)
	held := heldbytes.NewBudget(heldbytes.DefaultLimit).Hold(t.Context(), "b", func(error) {})
	kept := 0
	for _, size := range sizes {
		event := &CallEvent{}
		assert.NilError(t, stream.RecvHeld(event, held))
		assert.Equal(t, len(event.GetDone().GetBody()), size)
		kept += size
		assert.Assert(t, held.Size() >= kept && held.Size() < kept+1<<10, "%d bytes counted, %d kept", held.Size(), kept)
	}
	assert.Assert(t, stream.RecvHeld(&CallEvent{}, held) != nil, "the stream has ended")
}

// Guards against a message without room that ends the session and all calls on it.
func TestMessageWithoutRoomEndsItsStreamOnly(t *testing.T) {
	session, stream := openEvents(t, 1<<20)
	held := heldbytes.NewBudget(256<<10).Hold(t.Context(), "b", func(error) {})
	assert.Assert(t, errors.Is(stream.RecvHeld(&CallEvent{}, held), heldbytes.ErrNoRoom))
	assert.NilError(t, stream.Close())
	event := &CallEvent{}
	assert.NilError(t, openStream(t, session).RecvHeld(event, nil))
	assert.Equal(t, len(event.GetDone().GetBody()), 1<<20)
	assert.Assert(t, !session.Closed())
}
