package load

import (
	"net/http"
	"strings"
	"time"
)

// answerReader checks a streamed answer against the right tokens.
type answerReader struct {
	client  *client
	prompt  string
	version string
	text    strings.Builder
	last    time.Time
	got     result
}

// readStream reads a stream to its end.
func (c *client) readStream(answer *http.Response, prompt string) result {
	reader := &answerReader{client: c, prompt: prompt, version: answer.Header.Get(VersionHeader)}
	reader.got.outcome = OutcomeFailed
	events := newEventReader(answer.Body)
	for {
		next, err := events.next()
		if err != nil {
			return reader.got
		}
		if next.problem != nil {
			return reader.broken(next)
		}
		if next.done {
			return reader.finish()
		}
		reader.take(next.content())
	}
}

// take adds the text of one event.
func (r *answerReader) take(text string) {
	if text == "" {
		return
	}
	now := r.client.now()
	if r.got.firstToken.IsZero() {
		r.got.firstToken = now
	} else {
		r.got.gaps = append(r.got.gaps, now.Sub(r.last))
	}
	r.last = now
	r.text.WriteString(text)
}

// broken ends a stream whose last event is a problem.
func (r *answerReader) broken(last *event) result {
	ended := refused(last.problem)
	// An endpoint began the call if it gave a token.
	ended.falseClaim = ended.outcome == OutcomeNotRun && !r.got.firstToken.IsZero()
	return ended
}

// finish compares the whole answer. One that is not right is a failure.
func (r *answerReader) finish() result {
	right := r.right()
	text := r.text.String()
	if text == right {
		r.got.outcome = OutcomeAnswered
		return r.got
	}
	r.got.partial = strings.HasPrefix(right, text)
	r.got.wrong = !r.got.partial
	return r.got
}

// right returns the right whole answer.
func (r *answerReader) right() string {
	var whole strings.Builder
	for i := range r.client.tokens {
		whole.WriteString(r.client.oracle.TokenText(r.prompt, r.version, i))
	}
	return whole.String()
}
