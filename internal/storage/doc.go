// Package storage keeps the state of one voter in a data folder: an identity
// file, checksummed log segments and the newest snapshot.
//
// Nothing counts as stored before it has been synced. After a failed write or
// sync a Store refuses every further operation, because the content of the
// file is unknown from then on.
package storage
