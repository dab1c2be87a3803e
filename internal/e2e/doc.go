// Package e2e holds the tests that run crocusway as separate processes over
// loopback and kill, freeze and cut them.
package e2e
