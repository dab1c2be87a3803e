//go:build crowd

package crowd

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// startServe starts a daemon of the command "serve" and returns it with the address on
// which it takes calls.
func startServe(t *testing.T, roles string) (*daemon, string) {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1", 16+rand.IntN(200), rand.IntN(250))
	peer, callers := ip+":7100", ip+":7200"
	settings := map[string]string{
		"NAME": "a", "ROLES": roles, "DOMAIN": "cairo", "PEER_LISTEN": peer, "CALLER_LISTEN": callers, "VOTERS": "a=" + peer,
		"PEER_SECRET": peerSecret, "OPERATOR_TOKEN": "operator-token-of-the-crowd", "BACKEND_TOKEN": "backend-token-of-the-crowd",
		"DATA_DIR": t.TempDir(), "BOOTSTRAP": "true", "MEMORY_LIMIT": strconv.Itoa(memoryLimit << 20),
	}
	env := make([]string, 0, len(settings))
	for name, value := range settings {
		env = append(env, "CROCUSWAY_"+name+"="+value)
	}
	d := startDaemon(t, "serve", env, "serve")
	require.Eventually(t, func() bool { return isReady(callers) }, wait, poll, "the daemon is ready")
	return d, callers
}

func isReady(address string) bool {
	status, _, err := call(http.MethodGet, "http://"+address+"/readyz", nil)
	return err == nil && status == http.StatusOK
}

// eachServe plays a crowd at a daemon with the role entry, and at one without.
func eachServe(t *testing.T, clients int, play func(c *client)) {
	for _, roles := range []string{"control,entry", "control"} {
		t.Run(roles, func(t *testing.T) {
			d, address := startServe(t, roles)
			withstands(t, d, address, clients, func() bool { return isReady(address) }, play)
		})
	}
}

func TestServeWithClaimedBodies(t *testing.T) {
	eachServe(t, 2*fewClients, func(c *client) { sendBody(c, "", maxBody, 1) })
}

func TestServeWithLargeBodies(t *testing.T) {
	eachServe(t, fewClients, func(c *client) { sendBody(c, "", maxBody, maxBody-1) })
}

func TestServeWithHeadsOfManyLines(t *testing.T) {
	eachServe(t, manyClients, func(c *client) { c.send([]byte(c.head(fill("a:\r\n", headFill)))) })
}

func TestServeWithAnsweredHeadsOfManyLines(t *testing.T) {
	eachServe(t, manyClients, func(c *client) {
		sendTwice(c, strings.Replace(c.head(fill("a:\r\n", headFill)), "POST /x/1", "GET /healthz", 1)+"\r\n")
	})
}

func TestServeWithConnectionsOverTheDescriptorLimit(t *testing.T) {
	eachServe(t, 2*descriptorLimit, func(*client) {})
}
