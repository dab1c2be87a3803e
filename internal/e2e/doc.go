// Package e2e holds the tests that run crocusway as separate processes over
// loopback, and kill, pause and isolate them.
package e2e
