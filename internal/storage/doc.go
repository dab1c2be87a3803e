// Package storage keeps the state of one voter in a data folder: an identity
// file, checksummed log segments and the newest snapshot.
//
// Data counts as stored only once it has been synced. After a failed write or
// sync a Store rejects every further operation, because the content of the
// file is unknown.
package storage
