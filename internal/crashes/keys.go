// Package crashes finds out which requests crash the backend servers that run them. It
// collects the crashes that all entries see, and does no I/O.
//
// Every request that was on a crashed server is a suspect. What distinguishes the cause:
// servers crash under it again and again, one after the other, and none ever survives it.
package crashes

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key is a property that a request shares with others and that may crash a server: a part
// of its prompt, or its whole content.
type Key string

// PartKey is the key of all requests with a part in their prompts.
func PartKey(id string) Key { return Key("part/" + id) }

// ContentKey is the key of all repetitions of a request, by the hash of its content.
func ContentKey(hash uint64) Key { return Key(fmt.Sprintf("content/%016x", hash)) }

func (k Key) isContent() bool { return strings.HasPrefix(string(k), "content/") }

// maxFingerprint is the longest fingerprint that names its keys, in bytes.
const maxFingerprint = 120

// Fingerprint identifies a set of keys, whatever their order.
func Fingerprint(keys []Key) string {
	sorted := slices.Sorted(slices.Values(keys))
	names := make([]string, len(sorted))
	for i, k := range sorted {
		names[i] = string(k)
	}
	text := strings.Join(names, "+")
	if len(text) <= maxFingerprint {
		return text
	}
	return fmt.Sprintf("keys/%016x", xxhash.Sum64String(text))
}

// Includes reports whether a request with keys has every key of a set.
func Includes(keys, set []Key) bool {
	for _, k := range set {
		if !slices.Contains(keys, k) {
			return false
		}
	}
	return len(set) > 0
}
