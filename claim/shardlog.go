package claim

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/claim/claimpb"
)

const (
	// listLimit is the number of log entries read by one call.
	listLimit = 256
)

// logEntry is one entry of a shard's log.
type logEntry struct {
	sequence uint64
	version  uint64
	batch    *claimpb.Batch
}

func (e logEntry) draftedAt() time.Time {
	return time.UnixMilli(e.batch.GetAtUnixMs())
}

// shardLog reads and writes a shard's log in the key-value service.
type shardLog struct {
	kv           backing.KeyValue
	prefix       string
	storeTimeout time.Duration
	writes       int // Calls that may have written.
}

func newShardLog(c OwnerConfig) *shardLog {
	return &shardLog{
		kv:           c.KeyValue,
		prefix:       fmt.Sprintf("claims/%03d/", c.Shard),
		storeTimeout: c.StoreTimeout,
	}
}

func (l *shardLog) key(sequence uint64) string {
	return fmt.Sprintf("%s%012d", l.prefix, sequence)
}

// read returns the entries from a sequence number on.
func (l *shardLog) read(ctx context.Context, from uint64) ([]logEntry, error) {
	after := ""
	if from > 0 {
		after = l.key(from - 1)
	}
	var entries []logEntry
	for {
		page, err := l.list(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, stored := range page {
			entry, err := l.decode(stored)
			if err != nil {
				return nil, err
			}
			entries = append(entries, entry)
			after = stored.Key
		}
		if len(page) < listLimit {
			return entries, nil
		}
	}
}

func (l *shardLog) list(ctx context.Context, after string) ([]backing.KeyValueEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.storeTimeout)
	defer cancel()
	page, err := l.kv.List(ctx, l.prefix, after, listLimit)
	return page, eris.Wrap(err, "read the log")
}

func (l *shardLog) decode(stored backing.KeyValueEntry) (logEntry, error) {
	sequence, err := strconv.ParseUint(strings.TrimPrefix(stored.Key, l.prefix), 10, 64)
	if err != nil {
		return logEntry{}, &CorruptEntryError{Key: stored.Key, Cause: err}
	}
	batch := new(claimpb.Batch)
	if err := proto.Unmarshal(stored.Value, batch); err != nil {
		return logEntry{}, &CorruptEntryError{Key: stored.Key, Cause: err}
	}
	return logEntry{sequence: sequence, version: stored.Version, batch: batch}, nil
}

// create writes an entry that must not exist yet and returns its version.
func (l *shardLog) create(ctx context.Context, entry logEntry) (uint64, error) {
	value, err := proto.Marshal(entry.batch)
	if err != nil {
		return 0, eris.Wrap(err, "encode a log entry")
	}
	ctx, cancel := context.WithTimeout(ctx, l.storeTimeout)
	defer cancel()
	l.writes++
	version, err := l.kv.CompareAndSwap(ctx, l.key(entry.sequence), 0, value, 0)
	return version, eris.Wrap(err, "write the log")
}

// remove deletes an entry. It returns nil if the entry is already deleted.
func (l *shardLog) remove(ctx context.Context, e appliedEntry) error {
	ctx, cancel := context.WithTimeout(ctx, l.storeTimeout)
	defer cancel()
	l.writes++
	err := l.kv.Delete(ctx, l.key(e.sequence), e.version)
	if errors.Is(err, backing.ErrKeyNotFound) {
		return nil
	}
	return eris.Wrap(err, "delete from the log")
}
