package loadreport_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

func testEngineList(count int) loadreport.EngineList {
	list := loadreport.EngineList{Service: "lm"}
	for i := range count {
		list.Engines = append(list.Engines, loadreport.EngineEntry{
			ID: fmt.Sprintf("i-%08x", i*2654435761), Address: fmt.Sprintf("10.%d.%d.7:8468", i/200, i%200), FailureDomain: "a", Slots: 8,
			LoadedVersion: 3, Draining: i%7 == 0, StartedUnixMS: 1768657350054 + int64(i*i),
		})
	}
	return list
}

func decodeParts(t *testing.T, datagrams [][]byte) []loadreport.EngineListPart {
	t.Helper()
	var parts []loadreport.EngineListPart
	for _, datagram := range datagrams {
		assert.Assert(t, len(datagram) <= loadreport.MaxDatagramBytes)
		assert.Assert(t, loadreport.IsEngineList(datagram))
		part, err := loadreport.DecodeEngineListPart(testFleetKey, datagram)
		assert.NilError(t, err)
		parts = append(parts, part)
	}
	return parts
}

func TestEngineListSurvivesEncoding(t *testing.T) {
	for _, count := range []int{0, 1, 138, 1300} {
		list := testEngineList(count)
		datagrams, digest, err := list.Encode(testFleetKey)
		assert.NilError(t, err)
		parts := decodeParts(t, datagrams)
		assert.Equal(t, parts[0].Digest, digest)
		joined, err := loadreport.JoinEngineList(parts)
		assert.NilError(t, err)
		assert.DeepEqual(t, joined, list)
	}
}

func TestChangedEngineListHasAnotherDigest(t *testing.T) {
	list := testEngineList(3)
	_, before, err := list.Encode(testFleetKey)
	assert.NilError(t, err)
	list.Engines[1].LoadedVersion++
	_, after, err := list.Encode(testFleetKey)
	assert.NilError(t, err)
	assert.Assert(t, before != after)
}

func TestMixedOrForgedEngineListsAreRejected(t *testing.T) {
	first, _, err := testEngineList(300).Encode(testFleetKey)
	assert.NilError(t, err)
	second, _, err := testEngineList(299).Encode(testFleetKey)
	assert.NilError(t, err)
	mixed := decodeParts(t, append(first[:1:1], second[1:]...))
	_, err = loadreport.JoinEngineList(mixed)
	assert.ErrorType(t, err, &loadreport.FormatError{})
	_, err = loadreport.JoinEngineList(nil)
	assert.ErrorType(t, err, &loadreport.FormatError{})
	forged := append([]byte{}, first[0]...)
	forged[len(forged)-1] ^= 1
	_, err = loadreport.DecodeEngineListPart(testFleetKey, forged)
	assert.ErrorType(t, err, &loadreport.SignatureError{})
}

func FuzzDecodeEngineListPart(f *testing.F) {
	datagrams, _, err := testEngineList(2).Encode(testFleetKey)
	assert.NilError(f, err)
	f.Add(datagrams[0])
	f.Add([]byte{8})
	f.Fuzz(func(t *testing.T, b []byte) {
		part, err := loadreport.DecodeEngineListPart(testFleetKey, b)
		if err == nil {
			_, _ = loadreport.JoinEngineList([]loadreport.EngineListPart{part})
			assert.Assert(t, part.Index < part.Count)
		}
	})
}
