package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/crocusway/crocusway/internal/api"
)

// ProtocolVersion is the version of the link protocol.
const ProtocolVersion = 1

// handshakeFrame bounds a payload before the handshake is complete, in bytes.
const handshakeFrame = 512

// nonceSize is the size of a handshake nonce, in bytes.
const nonceSize = 32

// Methods of the link protocol itself.
const (
	methodHello api.Method = "link.hello"
	methodProve api.Method = "link.prove"
	methodPing  api.Method = "link.ping"
)

// Ids of the two handshake calls. Other calls use higher ids.
const (
	helloID = 1
	proveID = 2
)

// Role labels of the proof. They differ to prevent reflection of a proof.
const (
	roleDialer   = "crocusway link dialer"
	roleAcceptor = "crocusway link acceptor"
)

var errHandshake = errors.New("handshake failed")

// hello starts the handshake; the response is the hello of the acceptor.
type hello struct {
	Version int    `json:"version"`
	Nonce   []byte `json:"nonce"`
}

// proof proves knowledge of the shared secret.
type proof struct {
	MAC []byte `json:"mac"`
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	// rand.Read never fails, as documented by crypto/rand.
	_, _ = rand.Read(nonce)
	return nonce
}

// proofMAC returns the HMAC-SHA256 of the role, the version and both nonces.
func proofMAC(secret []byte, role string, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(binary.BigEndian.AppendUint32(nil, ProtocolVersion))
	mac.Write(dialer)
	mac.Write(acceptor)
	return mac.Sum(nil)
}

func checkHello(h hello, own []byte) error {
	if h.Version != ProtocolVersion {
		return errors.Wrapf(errHandshake, "version %d, want %d", h.Version, ProtocolVersion)
	}
	if len(h.Nonce) != nonceSize {
		return errors.Wrapf(errHandshake, "nonce of %d bytes, want %d", len(h.Nonce), nonceSize)
	}
	if hmac.Equal(h.Nonce, own) {
		return errors.Wrap(errHandshake, "reflected nonce")
	}
	return nil
}

// macFunc computes the proof of a role.
type macFunc func(secret []byte, role string, dialer, acceptor []byte) []byte

// handshake is the handshake state machine of one side. Its step methods take the
// received payload and return the frame to send. It is not safe for concurrent use.
type handshake struct {
	secret      []byte
	mac         macFunc
	localNonce  []byte
	remoteNonce []byte
	done        bool
}

func newHandshake(secret []byte) *handshake {
	return &handshake{secret: secret, mac: proofMAC, localNonce: newNonce()}
}

// start returns the first frame of the dialer.
func (h *handshake) start() ([]byte, error) {
	return encodeHandshakeCall(helloID, methodHello, hello{Version: ProtocolVersion, Nonce: h.localNonce})
}

// dialerStep advances the dialer. It returns a nil frame when done.
func (h *handshake) dialerStep(payload []byte) ([]byte, error) {
	if h.remoteNonce == nil {
		var response hello
		if err := decodeHandshakeResponse(payload, helloID, &response); err != nil {
			return nil, err
		}
		if err := checkHello(response, h.localNonce); err != nil {
			return nil, err
		}
		h.remoteNonce = response.Nonce
		return encodeHandshakeCall(proveID, methodProve, proof{MAC: h.mac(h.secret, roleDialer, h.localNonce, h.remoteNonce)})
	}
	var response proof
	if err := decodeHandshakeResponse(payload, proveID, &response); err != nil {
		return nil, err
	}
	if !hmac.Equal(response.MAC, h.mac(h.secret, roleAcceptor, h.localNonce, h.remoteNonce)) {
		return nil, errors.Wrap(errHandshake, "wrong proof")
	}
	h.done = true
	return nil, nil
}

// acceptorStep advances the acceptor. It sends its proof only after it has verified
// the proof of the dialer.
func (h *handshake) acceptorStep(payload []byte) ([]byte, error) {
	if h.remoteNonce == nil {
		var call hello
		if err := decodeHandshakeCall(payload, helloID, methodHello, &call); err != nil {
			return nil, err
		}
		if err := checkHello(call, h.localNonce); err != nil {
			return nil, err
		}
		h.remoteNonce = call.Nonce
		return encodeResult(jsonrpc2.ID{Num: helloID}, hello{Version: ProtocolVersion, Nonce: h.localNonce})
	}
	var call proof
	if err := decodeHandshakeCall(payload, proveID, methodProve, &call); err != nil {
		return nil, err
	}
	if !hmac.Equal(call.MAC, h.mac(h.secret, roleDialer, h.remoteNonce, h.localNonce)) {
		return nil, errors.Wrap(errHandshake, "wrong proof")
	}
	h.done = true
	return encodeResult(jsonrpc2.ID{Num: proveID}, proof{MAC: h.mac(h.secret, roleAcceptor, h.remoteNonce, h.localNonce)})
}

func encodeHandshakeCall(id uint64, method api.Method, params any) ([]byte, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return nil, errors.Wrap(err, "encode handshake")
	}
	return encodeRequest(id, false, method, raw, 0)
}

func decodeHandshakeCall(payload []byte, id uint64, method api.Method, params any) error {
	m, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	if m.request == nil || m.request.ID.Num != id || m.request.Method != string(method) || m.request.Params == nil {
		return errors.Wrapf(errHandshake, "want %s", method)
	}
	return decodeStrict(*m.request.Params, params)
}

func decodeHandshakeResponse(payload []byte, id uint64, result any) error {
	m, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	if m.response == nil || m.response.ID.Num != id || m.response.Result == nil {
		return errors.Wrap(errHandshake, "want a handshake response")
	}
	return decodeStrict(*m.response.Result, result)
}
