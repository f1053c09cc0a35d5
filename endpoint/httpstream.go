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

	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	maxEventBytes    = 256 << 10
	eventBufferBytes = 4 << 10
	// streamBaseBytes and streamTokenBytes limit a stream, whose bytes without an
	// event of the attempt would otherwise never end: the base holds several events
	// of any length, the bytes for each token several times a usual event of some
	// 200 bytes, so that comments and events of other attempts fit too.
	streamBaseBytes  = 1 << 20
	streamTokenBytes = 2 << 10
)

// ErrStreamTruncated reports a stream that ended before the event with Done.
var ErrStreamTruncated = eris.New("stream ended before its final event")

// ErrEventTimeout reports a stream that sent no event of its attempt within the
// timeout.
var ErrEventTimeout = eris.New("stream sent no event of the attempt within the timeout")

// httpStream reads server-sent events.
type httpStream struct {
	attempt    string
	body       io.Closer
	lines      *bufio.Scanner
	cancel     context.CancelFunc
	timeout    time.Duration
	eventTimer *time.Timer
	timedOut   *atomic.Bool
	done       bool
	// held counts lineBytes, the memory for the longest line so far.
	held      *heldbytes.Held
	lineBytes int
}

// streamLimit returns the bytes that a stream of at most maxTokens tokens may have.
func streamLimit(maxTokens int) int64 {
	return streamBaseBytes + streamTokenBytes*int64(max(0, maxTokens))
}

// openStream sends the request and returns once the response header arrives. The
// stream breaks off after maxBytes.
func openStream(ctx context.Context, client *httpcall.Client, attempt string, request httpcall.Request, maxBytes int64) (TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream := &httpStream{attempt: attempt, cancel: cancel, timeout: client.Timeout(), timedOut: new(atomic.Bool), held: request.Held}
	stream.startEventTimer()
	response, err := client.Open(ctx, request)
	if err != nil {
		stream.cancelRequest()
		return nil, attemptError(attempt, err)
	}
	if response.StatusCode != http.StatusOK {
		defer stream.cancelRequest()
		defer response.Body.Close()
		return nil, streamRefusal(attempt, response)
	}
	stream.body = response.Body
	stream.lines = bufio.NewScanner(httpcall.LimitReader(response.Body, maxBytes))
	stream.lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	stream.lines.Split(stream.splitLine)
	return stream, nil
}

func streamRefusal(attempt string, response *http.Response) error {
	refusal, err := httpcall.ReadStatusError(response)
	if err != nil {
		// Without a readable body, the status alone tells whether work started.
		refusal = &httpcall.StatusError{Status: response.StatusCode}
	}
	return attemptError(attempt, refusal)
}

// splitLine is bufio.ScanLines, and counts the memory for an incomplete line: the scanner doubles its
// buffer for it, holds both copies meanwhile, and keeps the larger one.
func (s *httpStream) splitLine(data []byte, atEOF bool) (advance int, line []byte, err error) {
	advance, line, err = bufio.ScanLines(data, atEOF)
	needed := 3 * len(data)
	if advance > 0 || err != nil || needed <= s.lineBytes {
		return advance, line, err
	}
	if err := s.held.AddBytes(needed - s.lineBytes); err != nil {
		return 0, nil, err
	}
	s.lineBytes = needed
	return 0, nil, nil
}

// Next implements TokenStream.
func (s *httpStream) Next() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	data, err := s.nextData()
	if err != nil {
		return Token{}, &BrokenError{Attempt: s.attempt, Cause: err}
	}
	token, err := parseEvent(data)
	if err != nil && s.lines.Err() != nil {
		err = s.endError() // The read that failed cut the line short.
	}
	if err != nil {
		return Token{}, &BrokenError{Attempt: s.attempt, Cause: err}
	}
	if token.Attempt != s.attempt {
		return Token{}, &AttemptMismatchError{Attempt: s.attempt, Got: token.Attempt}
	}
	s.resetEventTimer()
	s.done = token.Done
	return token, nil
}

// Close implements TokenStream.
func (s *httpStream) Close() error {
	s.cancelRequest()
	return s.body.Close()
}

// nextData returns the data field of the next event.
func (s *httpStream) nextData() ([]byte, error) {
	for s.lines.Scan() {
		data, found := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == CompletionEnd {
			return nil, ErrStreamTruncated
		}
		return data, nil
	}
	return nil, s.endError()
}

func (s *httpStream) endError() error {
	if s.timedOut.Load() {
		return ErrEventTimeout
	}
	if err := s.lines.Err(); err != nil {
		return err
	}
	return ErrStreamTruncated
}

func (s *httpStream) startEventTimer() {
	if s.timeout <= 0 {
		return
	}
	s.eventTimer = time.AfterFunc(s.timeout, func() {
		s.timedOut.Store(true)
		s.cancel()
	})
}

func (s *httpStream) resetEventTimer() {
	if s.eventTimer != nil {
		s.eventTimer.Reset(s.timeout)
	}
}

func (s *httpStream) cancelRequest() {
	if s.eventTimer != nil {
		s.eventTimer.Stop()
	}
	s.cancel()
}

func parseEvent(data []byte) (Token, error) {
	var event CompletionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return Token{}, eris.Wrap(err, "decode stream event")
	}
	token := Token{Attempt: event.ID, Index: event.TokenIndex, Version: event.Version}
	if len(event.Choices) > 0 {
		token.Text = event.Choices[0].Text
		token.Done = event.Choices[0].FinishReason != nil
	}
	return token, nil
}
