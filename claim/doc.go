// Package claim lets a keyed call that is not idempotent run at most once.
//
// Keys are hashed to shards. Each shard has a log in the key-value service:
// entries created in sequence, each with the records of many calls. The first
// claim of a key in log order holds it. Any process may write to a log, as a
// create fails when another process made the entry before; the Owner that
// requests are sent to only saves conflicts. Entries whose claims have all
// expired are deleted, oldest first; the last entry always stays, so that the
// sequence never starts again.
//
// A claim holds its key for a fixed time from when it was made. A key sent
// again later than that is a new one.
package claim
