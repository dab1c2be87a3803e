// Package e2e holds the tests that run crocusway as separate processes over
// loopback, and kill them, freeze them and cut them off.
package e2e
