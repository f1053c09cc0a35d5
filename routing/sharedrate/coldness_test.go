package sharedrate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const coldFor = 3 * time.Second

func record(receivedMS, leftMS int, era, revision uint64) Record {
	return Record{Known: true, Left: time.Duration(leftMS) * time.Millisecond, ReceivedAt: at(receivedMS), Era: era, Revision: revision}
}

func seen(receivedMS, sinceMS int) Start {
	return Start{Known: true, Seen: true, Since: time.Duration(sinceMS) * time.Millisecond, ReceivedAt: at(receivedMS)}
}

func polled(receivedMS, sinceMS int) Start {
	s := seen(receivedMS, sinceMS)
	s.Seen = false
	return s
}

func endOf(c *Coldness, duration time.Duration) time.Time {
	end, _ := c.End(duration)
	return end
}

// Guards against an unchanged record that makes its endpoint cold anew each time that it is
// decoded: with each document and each full read.
func TestRecordFixesTheEndOnce(t *testing.T) {
	var c Coldness
	c.ApplyRecord(record(0, 2000, 1, 7))
	c.ApplyRecord(record(1500, 2000, 1, 7))
	assert.Equal(t, endOf(&c, coldFor), at(2000))
	c.ApplyRecord(record(1800, 500, 1, 8))
	assert.Equal(t, endOf(&c, coldFor), at(2300))
	c.ApplyRecord(record(1900, 0, 1, 9))
	assert.Equal(t, endOf(&c, coldFor), at(1900), "a newer record ends the coldness")
	c.ApplyRecord(Record{Revision: 10, Era: 1, ReceivedAt: at(1950), Left: time.Hour})
	assert.Equal(t, endOf(&c, coldFor), at(1900), "a record without the figure says nothing")
}

// Guards against an older copy of the store, or an older record, that ends a coldness.
func TestOnlyANewerRecordOfTheSameEraShortensTheEnd(t *testing.T) {
	var c Coldness
	c.ApplyRecord(record(0, 3000, 1, 20))
	c.ApplyRecord(record(100, 0, 2, 25))
	assert.Equal(t, endOf(&c, coldFor), at(3000), "revisions of eras cannot be compared")
	c.ApplyRecord(record(200, 0, 2, 24))
	assert.Equal(t, endOf(&c, coldFor), at(3000))
	c.ApplyRecord(record(300, 0, 2, 26))
	assert.Equal(t, endOf(&c, coldFor), at(300))
	c.ApplyRecord(record(400, 1000, 2, 5))
	assert.Equal(t, endOf(&c, coldFor), at(1400), "an older record may extend it")
	c.ApplyRecord(record(500, 0, 2, 26))
	assert.Equal(t, endOf(&c, coldFor), at(1400))
}

// Guards against a record that the incarnation before wrote and that arrives after the agent's
// report of the start.
func TestRecordDoesNotShortenASeenStart(t *testing.T) {
	var c Coldness
	c.ApplyStart(seen(1000, 100))
	c.ApplyRecord(record(1100, 0, 1, 8))
	assert.Equal(t, endOf(&c, coldFor), at(3900))
	c.ApplyStart(seen(2000, 1000))
	assert.Equal(t, endOf(&c, coldFor), at(4000), "the latest start of several reports")
	c.ApplyStart(seen(2100, 0))
	assert.Equal(t, endOf(&c, coldFor), at(5100), "the endpoint started again")
	c.ApplyStart(Start{Known: true, Seen: true, Since: -1, ReceivedAt: at(60_000)})
	c.ApplyStart(Start{Since: 0, ReceivedAt: at(60_000)})
	assert.Equal(t, endOf(&c, coldFor), at(5100), "a time beyond the range, or of a build without it")
	assert.Equal(t, endOf(&c, time.Second), at(3100), "a changed document acts at once")
}

// Load: the report with which an agent tells of a start is lost, as others. Guards against an end
// that depends on which of its reports arrive.
func TestAnyReportAfterAStartTellsTheSameEnd(t *testing.T) {
	var heard, lost Coldness
	for sent := 100; sent < 3000; sent += 200 {
		report := seen(sent+10, sent)
		heard.ApplyStart(report)
		if sent > 900 {
			lost.ApplyStart(report)
			assert.Equal(t, endOf(&lost, coldFor), endOf(&heard, coldFor))
		}
	}
	assert.Equal(t, endOf(&heard, coldFor), at(3010))
}

// Guards against a restart of an agent and its endpoint together that no agent saw, also a
// second time, and against one of the agent alone that leaves a warm endpoint cold for good.
func TestFirstPollOfAnAgentCountsAsStartUnlessARecordSaysOtherwise(t *testing.T) {
	var c Coldness
	c.ApplyRecord(record(0, 0, 1, 7))
	c.ApplyStart(polled(10_000, 0))
	assert.Equal(t, endOf(&c, coldFor), at(13_000), "the record is older")
	c.ApplyStart(polled(11_000, 900))
	assert.Equal(t, endOf(&c, coldFor), at(13_100))
	c.ApplyRecord(record(11_500, 0, 1, 8))
	assert.Equal(t, endOf(&c, coldFor), at(11_500))
	c.ApplyStart(polled(20_000, 0))
	end, source := c.End(coldFor)
	assert.Equal(t, end, at(23_000))
	assert.Equal(t, source, SourceFirstPoll)
}

// Guards against two seconds without service after all our own processes were killed: the
// endpoints ran on, and their records say so.
func TestFirstReadOfAnEntryHoldsForAgentsThatStartWithIt(t *testing.T) {
	var c Coldness
	initial := record(0, 0, 1, 7)
	initial.Initial = true
	c.ApplyRecord(initial)
	c.ApplyStart(polled(500, 100))
	assert.Equal(t, endOf(&c, coldFor), at(0))
	c.ApplyStart(polled(30_000, 100))
	assert.Equal(t, endOf(&c, coldFor), at(32_900), "a later start of the agent")
}

// Guards against a silent endpoint that is used in full while it may have restarted, and
// against one of a dead agent that is never used again.
func TestSilentEndpointIsColdUntilTheStoreSaysOtherwise(t *testing.T) {
	var c Coldness
	assert.Assert(t, Silence{Since: at(0)}.Cold(at(60_000), &c, coldFor), "the store does not answer")
	up := Silence{Since: at(0), StoreUpSince: at(-9000)}
	assert.Assert(t, up.Cold(at(3999), &c, coldFor))
	assert.Assert(t, !up.Cold(at(4000), &c, coldFor))
	returned := Silence{Since: at(0), StoreUpSince: at(2000)}
	assert.Assert(t, returned.Cold(at(5999), &c, coldFor))
	c.ApplyRecord(record(1000, 3000, 1, 8))
	assert.Assert(t, up.Cold(at(7999), &c, coldFor), "the endpoint restarted while it was silent")
	assert.Assert(t, !up.Cold(at(8000), &c, coldFor))
}
