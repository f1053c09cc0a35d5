package load

import (
	"net/http"
	"strings"
	"time"
)

// responseReader compares a streamed response with the expected tokens.
type responseReader struct {
	client      *client
	prompt      string
	version     string
	text        strings.Builder
	lastTokenAt time.Time
	result      sendResult
}

// readStream reads a streamed response to its end.
func (c *client) readStream(response *http.Response, prompt string) sendResult {
	reader := &responseReader{client: c, prompt: prompt, version: response.Header.Get(VersionHeader)}
	reader.result.outcome = OutcomeFailed
	events := newEventReader(response.Body)
	for {
		ev, err := events.next()
		if err != nil {
			return reader.result
		}
		if ev.problem != nil {
			return reader.endWithProblem(ev)
		}
		if ev.done {
			return reader.checkComplete()
		}
		reader.addText(ev.content())
	}
}

// addText appends the text of one event and records when it arrived.
func (r *responseReader) addText(text string) {
	if text == "" {
		return
	}
	now := r.client.now()
	if r.result.firstTokenAt.IsZero() {
		r.result.firstTokenAt = now
	} else {
		r.result.interTokenGaps = append(r.result.interTokenGaps, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.text.WriteString(text)
}

// endWithProblem returns the result of a stream that ended with a problem.
func (r *responseReader) endWithProblem(last *event) sendResult {
	result := refusalResult(last.problem)
	// A token proves that an endpoint had begun the call.
	result.falseNotRun = result.outcome == OutcomeNotRun && !r.result.firstTokenAt.IsZero()
	return result
}

// checkComplete compares the complete text with the expected one; any difference
// is a failure.
func (r *responseReader) checkComplete() sendResult {
	expected := r.expectedText()
	text := r.text.String()
	if text == expected {
		r.result.outcome = OutcomeAnswered
		return r.result
	}
	r.result.partial = strings.HasPrefix(expected, text)
	r.result.wrong = !r.result.partial
	return r.result
}

// expectedText returns the complete text of a correct response.
func (r *responseReader) expectedText() string {
	var text strings.Builder
	for i := range r.client.outputTokens {
		text.WriteString(r.client.oracle.TokenText(r.prompt, r.version, i))
	}
	return text.String()
}
