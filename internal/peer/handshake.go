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

// handshakeFrame bounds a message before the handshake is complete, in bytes.
const handshakeFrame = 512

// nonceSize is the size of a handshake nonce, in bytes.
const nonceSize = 32

// Calls of the link itself.
const (
	methodHello api.Method = "link.hello"
	methodProve api.Method = "link.prove"
	methodPing  api.Method = "link.ping"
)

// Identifiers of the two handshake calls; later calls start above them.
const (
	helloID = 1
	proveID = 2
)

// Roles in the proof. They differ, so that a proof can't be reflected.
const (
	roleDialer   = "crocusway link dialer"
	roleAcceptor = "crocusway link acceptor"
)

var errHandshake = errors.New("handshake refused")

// hello opens the handshake; the answer is a hello of the other side.
type hello struct {
	Version int    `json:"version"`
	Nonce   []byte `json:"nonce"`
}

// proof shows knowledge of the shared secret.
type proof struct {
	MAC []byte `json:"mac"`
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	// rand.Read never fails, as documented by crypto/rand.
	_, _ = rand.Read(nonce)
	return nonce
}

// proofMAC is HMAC-SHA256 over the role, the version and both nonces.
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

// handshake is the state machine of one side. Step functions take the payload
// received and return the frame to send. They are not safe for concurrent use.
type handshake struct {
	secret []byte
	mac    macFunc
	own    []byte
	other  []byte
	done   bool
}

func newHandshake(secret []byte) *handshake {
	return &handshake{secret: secret, mac: proofMAC, own: newNonce()}
}

// open returns the first frame of the dialer.
func (h *handshake) open() ([]byte, error) {
	return encodeHandshakeCall(helloID, methodHello, hello{Version: ProtocolVersion, Nonce: h.own})
}

// dialerStep advances the dialer. It returns a nil frame when done.
func (h *handshake) dialerStep(payload []byte) ([]byte, error) {
	if h.other == nil {
		var answer hello
		if err := decodeHandshakeAnswer(payload, helloID, &answer); err != nil {
			return nil, err
		}
		if err := checkHello(answer, h.own); err != nil {
			return nil, err
		}
		h.other = answer.Nonce
		return encodeHandshakeCall(proveID, methodProve, proof{MAC: h.mac(h.secret, roleDialer, h.own, h.other)})
	}
	var answer proof
	if err := decodeHandshakeAnswer(payload, proveID, &answer); err != nil {
		return nil, err
	}
	if !hmac.Equal(answer.MAC, h.mac(h.secret, roleAcceptor, h.own, h.other)) {
		return nil, errors.Wrap(errHandshake, "wrong proof")
	}
	h.done = true
	return nil, nil
}

// acceptorStep advances the acceptor. It proves nothing before the dialer has
// proven that it knows the secret.
func (h *handshake) acceptorStep(payload []byte) ([]byte, error) {
	if h.other == nil {
		var call hello
		if err := decodeHandshakeCall(payload, helloID, methodHello, &call); err != nil {
			return nil, err
		}
		if err := checkHello(call, h.own); err != nil {
			return nil, err
		}
		h.other = call.Nonce
		return encodeResult(jsonrpc2.ID{Num: helloID}, hello{Version: ProtocolVersion, Nonce: h.own})
	}
	var call proof
	if err := decodeHandshakeCall(payload, proveID, methodProve, &call); err != nil {
		return nil, err
	}
	if !hmac.Equal(call.MAC, h.mac(h.secret, roleDialer, h.other, h.own)) {
		return nil, errors.Wrap(errHandshake, "wrong proof")
	}
	h.done = true
	return encodeResult(jsonrpc2.ID{Num: proveID}, proof{MAC: h.mac(h.secret, roleAcceptor, h.other, h.own)})
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

func decodeHandshakeAnswer(payload []byte, id uint64, result any) error {
	m, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	if m.response == nil || m.response.ID.Num != id || m.response.Result == nil {
		return errors.Wrap(errHandshake, "want a handshake answer")
	}
	return decodeStrict(*m.response.Result, result)
}
