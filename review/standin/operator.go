package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// orderTimeout is the time without a response after which a caller of control moves on to
// another daemon.
const orderTimeout = time.Second

// operator sends orders to the control daemons that it knows.
type operator struct {
	w *world
}

// call sends one call to one daemon on a connection of its own, and follows two redirects.
func (o *operator) call(method, address, path string, body []byte) (status int, answer []byte, err error) {
	client := &http.Client{
		Timeout:   orderTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return fmt.Errorf("too many redirects")
			}
			return nil
		},
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// order sends an order to one daemon after the other until it is acknowledged or limit has
// passed, and returns the time of the acknowledgement.
func (o *operator) order(addresses []string, path string, body []byte, limit time.Duration) (acknowledged time.Time, ok bool) {
	began := time.Now()
	pause := 50 * time.Millisecond
	for i := 0; time.Since(began) < limit; i++ {
		address := addresses[i%len(addresses)]
		status, _, err := o.call(http.MethodPost, address, path, body)
		o.w.record("operator: POST %s to %s: %s", path, address, outcome(status, err))
		if err == nil && status/100 == 2 {
			return time.Now(), true
		}
		if i%len(addresses) == len(addresses)-1 {
			time.Sleep(pause)
			pause = min(2*pause, time.Second)
		}
	}
	return time.Time{}, false
}

func outcome(status int, err error) string {
	if err != nil {
		if strings.Contains(err.Error(), "Timeout") || strings.Contains(err.Error(), "deadline") {
			return "no response within a second"
		}
		return "failed: " + lastPart(err.Error())
	}
	return fmt.Sprint(status)
}

func lastPart(text string) string { return text[strings.LastIndex(text, ": ")+1:] }

// document is a configuration with one plain service. The timeout differs by version.
func document(version int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-post","host":"shop.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":%d,"targetLatencyMs":150,"priority":2,"service":"ledger","maxAttempts":2,"public":false},`+
		`{"name":"r-read","host":"shop.example","pathPrefix":"/read/","kind":"safe","timeoutMs":%d,"targetLatencyMs":150,"priority":2,"service":"ledger","maxAttempts":2,"public":false}],`+
		`"services":[{"name":"ledger","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"shop","apiKeys":["%s"],"priority":1}]}`, version, 1500+version, 1500+version, apiKey))
}

const apiKey = "n2ctnfzs989anu6wsjnb"
