package gateway

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/strikes"
)

// blamingFleet is a number of entries that exchange strikes at once.
type blamingFleet struct {
	t       *testing.T
	entries []*Gateway
	crashes uint64
	// late makes endpoints crash after the answer has begun.
	late bool
	// now is the time of the strikes.
	now time.Time
}

func newBlamingFleet(t *testing.T, entries int) *blamingFleet {
	t.Helper()
	f := &blamingFleet{t: t, now: time.Unix(1000, 0)}
	for range entries {
		f.entries = append(f.entries, f.newEntry())
	}
	return f
}

func (f *blamingFleet) newEntry() *Gateway {
	g := newOfflineFixture().gateway
	g.strikes = strikes.NewLedger(quarantineConfig(g.random), partQuarantineConfig(g.random), func() time.Time { return f.now })
	g.strikes.JudgeByChance(g.chanceOf, maxChance)
	return g
}

func (f *blamingFleet) request(entry int, parts ...string) *request {
	req := &request{service: (*f.entries[entry].services.Load())["s"], logger: slog.New(slog.DiscardHandler)}
	req.metadata.SharedParts = parts
	for _, part := range parts {
		req.partFingerprints = append(req.partFingerprints, routing.PartFingerprint("s", part))
	}
	return req
}

// begin sends a request that an endpoint answers, and reports whether it was sent.
func (f *blamingFleet) begin(entry int, parts ...string) bool {
	f.t.Helper()
	req := f.request(entry, parts...)
	if f.entries[entry].checkParts(req) != nil {
		return false
	}
	f.entries[entry].recordAnswer(req)
	f.exchange()
	return true
}

// crash sends a request that crashes an endpoint before its answer, and reports whether it was
// sent.
func (f *blamingFleet) crash(entry int, parts ...string) bool {
	f.t.Helper()
	req := f.request(entry, parts...)
	if f.entries[entry].checkParts(req) != nil {
		return false
	}
	f.crashes++
	f.entries[entry].recordPartCrash(req, f.crashes, f.late)
	f.exchange()
	return true
}

// crashAll crashes endpoints at once for another reason, with the given requests at each, each of
// another entry.
func (f *blamingFleet) crashAll(endpoints, waiting int, draw func() string) {
	for range endpoints {
		f.crashes++
		for i := range waiting {
			entry := (int(f.crashes) + i) % len(f.entries)
			req := f.request(entry, draw())
			g := f.entries[entry]
			g.recordPartCrash(req, f.crashes, f.late)
			news, _ := g.strikes.Requests.Strike(f.crashes*100+uint64(i), f.crashes, false)
			g.strikeNews.add(news)
		}
	}
	f.exchange()
}

// confirm is what entries do once a second.
func (f *blamingFleet) confirm() {
	f.t.Helper()
	for _, g := range f.entries {
		g.confirmParts()
	}
	f.exchange()
}

// exchange passes on all new strikes until there are none.
func (f *blamingFleet) exchange() {
	f.t.Helper()
	for pending := true; pending; {
		pending = false
		for i, from := range f.entries {
			news := from.strikeNews.take()
			if len(news) == 0 {
				continue
			}
			pending = true
			for j, to := range f.entries {
				if i != j {
					to.applyStrikes(netip.AddrPort{}, news.Encode(to.config.FleetKey))
				}
			}
		}
	}
}

// Guards against sound requests that are refused everywhere since their first part stands beside a
// deadly one at entries that know neither, while it begins at another entry all the time.
func TestPartThatBeginsElsewhereIsNotBlamedForTheOneBesideIt(t *testing.T) {
	const knowing = 7
	f := newBlamingFleet(t, knowing+1)
	for entry := range f.entries {
		for range 60 {
			assert.Assert(t, f.begin(entry, "other"))
		}
	}
	assert.Assert(t, f.begin(knowing, "first"))
	reached := 0
	for range 10 {
		for entry := range f.entries {
			if f.crash(entry, "first", deadlyPart) {
				reached++
			}
		}
		assert.Assert(t, f.begin(knowing, "first"))
	}
	assert.Assert(t, reached <= maxCrashesBeforePartQuarantine, "%d requests with the deadly part were sent", reached)
	for entry := range f.entries {
		assert.Assert(t, f.begin(entry, "first"), "entry %d", entry)
	}
}

// A crash has one cause: where nothing tells the parts of a prompt apart, each gets half of the
// blame.
func TestPartsThatNothingTellsApartShareTheBlame(t *testing.T) {
	f := newBlamingFleet(t, 3)
	for entry := range f.entries {
		for range 60 {
			assert.Assert(t, f.begin(entry, "other"))
		}
	}
	reached := 0
	for range 10 {
		for entry := range f.entries {
			if f.crash(entry, "first", deadlyPart) {
				reached++
			}
		}
	}
	assert.Equal(t, reached, 2*partQuarantineStrikes)
}

// Guards against an absolution of a part that turned deadly after it had begun: the blame of a
// single suspect stands.
func TestEntryDoesNotContradictTheBlameOfASingleSuspect(t *testing.T) {
	f := newBlamingFleet(t, 2)
	assert.Assert(t, f.begin(1, deadlyPart))
	for range 60 {
		assert.Assert(t, f.begin(0, "other"))
	}
	for range partQuarantineStrikes {
		assert.Assert(t, f.crash(0, deadlyPart))
	}
	var quarantined *QuarantinedError
	assert.Assert(t, errors.As(f.entries[1].checkParts(f.request(1, deadlyPart)), &quarantined))
}

// Guards against a part that turns deadly with new weights and crashes endpoints for half a minute,
// as each entry waits for hundreds of other requests before it suspects it.
func TestPartThatTurnsDeadlyIsQuarantinedByTheFifthCrash(t *testing.T) {
	f := newBlamingFleet(t, 5)
	others := func() {
		for entry := range f.entries {
			for range 4 {
				assert.Assert(t, f.begin(entry, "other"))
			}
		}
	}
	for range 10 {
		for entry := range f.entries {
			assert.Assert(t, f.begin(entry, "turning"))
			others()
		}
	}
	reached := 0
	for range 10 {
		for entry := range f.entries {
			if f.crash(entry, "turning") {
				reached++
			}
			others()
		}
	}
	assert.Assert(t, reached <= maxCrashesBeforePartQuarantine, "%d requests were sent", reached)
}

// crashOfAll crashes eleven endpoints at once, with a number of requests at each, after answers to
// others, and returns how many parts some entry refuses.
func crashOfAll(t *testing.T, random *rand.Rand, late bool, requests, answers int) (refused int) {
	t.Helper()
	const parts, endpoints = 100, 11
	draw := func() string { return strconv.Itoa(int(random.ExpFloat64() * parts / 5)) }
	f := newBlamingFleet(t, 5)
	f.late = late
	for range answers {
		entry := random.IntN(len(f.entries))
		f.entries[entry].recordAnswer(f.request(entry, draw()))
	}
	f.crashAll(endpoints, requests, draw)
	f.confirm()
	f.confirm()
	return f.refusedParts(parts)
}

// Guards against the quarantine of sound parts when all endpoints crash at once for another reason:
// at each some requests wait or run, of which weak strikes are recorded at several entries.
func TestCrashOfAllEndpointsQuarantinesFewPartsOfSeveralEntries(t *testing.T) {
	const rounds = 200
	random := rand.New(rand.NewPCG(1, 2))
	for _, at := range []struct {
		late              bool
		requests, answers int
	}{{false, 5, 2000}, {true, 16, 0}, {true, 16, 20}, {true, 16, 200}, {true, 16, 2000}} {
		refused := 0
		for range rounds {
			refused += crashOfAll(t, random, at.late, at.requests, at.answers)
		}
		assert.Check(t, refused <= rounds/10, "%+v: %d parts in %d crashes of all endpoints", at, refused, rounds)
	}
}

// refusedParts returns how many of the given number of sound parts some entry refuses.
func (f *blamingFleet) refusedParts(parts int) (refused int) {
	for part := range parts {
		fingerprint := routing.PartFingerprint("s", strconv.Itoa(part))
		if slices.ContainsFunc(f.entries, func(g *Gateway) bool { return g.strikes.Parts.Verdict(fingerprint).Refused }) {
			refused++
		}
	}
	return refused
}

// Guards against blame for sound parts when endpoints crash one after the other for another reason, as
// with a bad version, with some share of all requests or with each.
func TestCrashesOfAnyRequestBlameFewParts(t *testing.T) {
	// A part in ten crashes of eleven endpoints, as above.
	const rounds, crashes, parts, maxBlamePerCrash = 100, 40, 60, 1.0 / 110
	for _, share := range []float64{0.1, 0.5, 0.9, 1} {
		for _, late := range []bool{false, true} {
			blamed := 0
			for seed := range uint64(rounds) {
				f := newBlamingFleet(t, 5)
				f.late = late
				random := rand.New(rand.NewPCG(seed, 5))
				for f.crashes < crashes {
					f.now = f.now.Add(250 * time.Millisecond)
					if f.crashes%4 == 0 {
						f.confirm()
					}
					send := f.begin
					if random.Float64() < share {
						send = f.crash
					}
					send(random.IntN(len(f.entries)), "common", strconv.Itoa(random.IntN(parts)))
				}
				assert.NilError(t, f.entries[0].checkParts(f.request(0, "common")), "the part of all prompts")
				blamed += f.refusedParts(parts)
			}
			assert.Check(t, float64(blamed) <= rounds*crashes*maxBlamePerCrash, "share %.1f, late %v: %d parts", share, late, blamed)
		}
	}
}

// deadlyTraffic is sent to five entries: each second some sound requests, with one part of sixty, and one
// with each deadly part.
type deadlyTraffic struct {
	late bool
	// shared are the parts of all prompts.
	shared []string
	sound  int
	deadly []string
	// restarts says that an entry restarts after five seconds.
	restarts bool
}

// play returns how many requests with a deadly part were sent on at most.
func (d deadlyTraffic) play(t *testing.T, seed uint64) int {
	t.Helper()
	f := newBlamingFleet(t, 5)
	f.late = d.late
	random := rand.New(rand.NewPCG(seed, 1))
	reached := make([]int, len(d.deadly))
	for i := range 45 {
		f.now = f.now.Add(time.Second)
		f.confirm()
		if d.restarts && i == 5 {
			f.entries[2] = f.newEntry()
			f.entries[2].strikes.Merge(f.entries[0].strikes.Snapshot())
		}
		for range d.sound {
			part := strconv.Itoa(random.IntN(60))
			assert.Assert(t, f.begin(random.IntN(len(f.entries)), append(d.shared, part)...), "a sound request was refused")
		}
		for j, part := range d.deadly {
			if f.crash((i*len(d.deadly)+j)%len(f.entries), append(d.shared, part)...) {
				reached[j]++
			}
		}
	}
	return slices.Max(reached)
}

// Guards against a part that crashes endpoints in light traffic, or just after a start, without an end, as
// entries wait for tens of other requests before they suspect it.
func TestDeadlyPartIsQuarantinedInLightTraffic(t *testing.T) {
	// One request a second until the fifth crash, for the 3 s after it that the users allow, and three more.
	const maxRequests = 5 + 3 + 3
	one, two := []string{deadlyPart}, []string{deadlyPart, "other deadly part"}
	plays := []deadlyTraffic{{sound: 4, deadly: two}, {sound: 30, deadly: two}, {sound: 4, deadly: one, restarts: true}}
	for _, sound := range []int{1, 2, 4} {
		for _, late := range []bool{false, true} {
			plays = append(plays, deadlyTraffic{late: late, sound: sound, deadly: one},
				deadlyTraffic{late: late, sound: sound, deadly: one, shared: []string{"common"}})
		}
	}
	for _, d := range plays {
		most := 0
		for seed := range uint64(100) {
			most = max(most, d.play(t, seed))
		}
		assert.Check(t, most <= maxRequests, "%+v: %d requests were sent", d, most)
	}
}
