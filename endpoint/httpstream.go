package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	maxEventBytes    = 256 << 10
	eventBufferBytes = 4 << 10
)

// ErrNoDone reports a stream that ended without the event with Done.
var ErrNoDone = eris.New("stream ended without its last event")

// ErrSilent reports a stream that gave no event within the timeout.
var ErrSilent = eris.New("stream gave no event within the timeout")

// httpStream reads server-sent events.
type httpStream struct {
	attempt string
	body    io.Closer
	lines   *bufio.Scanner
	cancel  context.CancelFunc
	timeout time.Duration
	silence *time.Timer
	silent  *atomic.Bool
	done    bool
}

// openStream sends the request and returns once the answer's header is there.
func openStream(ctx context.Context, client *httpcall.Client, attempt string, request httpcall.Request) (TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream := &httpStream{attempt: attempt, cancel: cancel, timeout: client.Timeout(), silent: new(atomic.Bool)}
	stream.watchSilence()
	response, err := client.Open(ctx, request)
	if err != nil {
		stream.stop()
		return nil, mapError(attempt, err)
	}
	if response.StatusCode != http.StatusOK {
		defer stream.stop()
		defer response.Body.Close()
		return nil, refusedStream(attempt, response)
	}
	stream.body = response.Body
	stream.lines = bufio.NewScanner(response.Body)
	stream.lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	return stream, nil
}

func refusedStream(attempt string, response *http.Response) error {
	status, err := httpcall.ReadError(response)
	if err != nil {
		// The header alone tells whether work began.
		status = &httpcall.StatusError{Status: response.StatusCode}
	}
	return mapError(attempt, status)
}

// Next implements TokenStream.
func (s *httpStream) Next() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	data, err := s.data()
	if err != nil {
		return Token{}, &BrokenError{Attempt: s.attempt, Cause: err}
	}
	token, err := parseEvent(data)
	if err != nil {
		return Token{}, &BrokenError{Attempt: s.attempt, Cause: err}
	}
	if token.Attempt != s.attempt {
		return Token{}, &ForeignAnswerError{Attempt: s.attempt, Got: token.Attempt}
	}
	s.done = token.Done
	return token, nil
}

// Close implements TokenStream.
func (s *httpStream) Close() error {
	s.stop()
	return s.body.Close()
}

// data returns the data of the next event.
func (s *httpStream) data() ([]byte, error) {
	for s.lines.Scan() {
		s.heard()
		data, found := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == CompletionEnd {
			return nil, ErrNoDone
		}
		return data, nil
	}
	return nil, s.endCause()
}

func (s *httpStream) endCause() error {
	if s.silent.Load() {
		return ErrSilent
	}
	if err := s.lines.Err(); err != nil {
		return err
	}
	return ErrNoDone
}

func (s *httpStream) watchSilence() {
	if s.timeout <= 0 {
		return
	}
	s.silence = time.AfterFunc(s.timeout, func() {
		s.silent.Store(true)
		s.cancel()
	})
}

func (s *httpStream) heard() {
	if s.silence != nil {
		s.silence.Reset(s.timeout)
	}
}

func (s *httpStream) stop() {
	if s.silence != nil {
		s.silence.Stop()
	}
	s.cancel()
}

func parseEvent(data []byte) (Token, error) {
	var event CompletionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return Token{}, eris.Wrap(err, "event of a stream")
	}
	token := Token{Attempt: event.ID, Index: event.TokenIndex, Version: event.Version}
	if len(event.Choices) > 0 {
		token.Text = event.Choices[0].Text
		token.Done = event.Choices[0].FinishReason != nil
	}
	return token, nil
}
