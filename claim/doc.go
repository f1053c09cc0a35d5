// Package claim lets a keyed call that is not idempotent run at most once.
//
// Keys are hashed to shards. Each shard has a log in the key-value service, here
// called the store: entries created in sequence, each with the records of many
// calls. The first claim of a key in log order holds it. Any process may write to
// a log, as creating an entry that exists fails; sending the requests of a shard to
// one Owner only reduces conflicts. Entries whose claims have all expired are
// deleted, oldest first; the last entry always stays, so that sequence numbers are
// never reused.
//
// A claim holds its key for a fixed time from when it was made. A key that is
// sent again later counts as a new one.
package claim
