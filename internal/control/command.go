package control

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// commandVersion is the version of the encoding of commands.
const commandVersion = 1

// commandKind names the type of a command in its envelope.
type commandKind uint8

// Kinds of commands. The numbers are part of the log format.
const (
	kindPlan        commandKind = 1
	kindDecide      commandKind = 2
	kindGroup       commandKind = 3
	kindEntryPut    commandKind = 4
	kindEntryExpire commandKind = 5
	kindShards      commandKind = 6
	kindServers     commandKind = 7
	kindRecordOpen  commandKind = 8
	kindRecordEnd   commandKind = 9
	kindSuspect     commandKind = 10
	kindExpire      commandKind = 11
	kindLead        commandKind = 12
	kindRecover     commandKind = 13
	kindLease       commandKind = 14
	kindDomain      commandKind = 16
	kindDepart      commandKind = 17
	kindPublish     commandKind = 18
	kindQuarantine  commandKind = 19

	// kindPublishUnpacked was proposed by earlier releases.
	kindPublishUnpacked commandKind = 15
)

// command is one replicated change. apply must depend on nothing but the
// command and the state, and must check before it changes anything.
type command interface {
	kind() commandKind
	apply(tx *tx) (any, error)
}

// envelope is the encoded form of a command.
type envelope struct {
	Version uint8       `cbor:"1,keyasint"`
	Kind    commandKind `cbor:"2,keyasint"`
	// UnixMillis is the wall clock of the leader that proposed the command.
	UnixMillis int64           `cbor:"3,keyasint"`
	Body       cbor.RawMessage `cbor:"4,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  maxSnapshotRows,
		MaxMapPairs:       maxSnapshotRows,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeCommand wraps a command with the leader's wall clock.
func encodeCommand(cmd command, unixMillis int64) ([]byte, error) {
	body, err := encMode.Marshal(cmd)
	if err != nil {
		return nil, errs.Wrap(err, "encode command", "")
	}
	e := envelope{Version: commandVersion, Kind: cmd.kind(), UnixMillis: unixMillis, Body: body}
	data, err := encMode.Marshal(e)
	return data, errs.Wrap(err, "encode command", "")
}

// decodeCommand returns the command and the wall clock of its leader.
func decodeCommand(data []byte) (command, int64, error) {
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return nil, 0, errs.New(errs.Invalid, "decode command", "", "envelope: %v", err)
	}
	if e.Version != commandVersion {
		return nil, 0, errs.New(errs.Invalid, "decode command", "", "version %d is not %d", e.Version, commandVersion)
	}
	cmd := newCommand(e.Kind)
	if cmd == nil {
		return nil, 0, errs.New(errs.Invalid, "decode command", "", "unknown kind %d", e.Kind)
	}
	if err := decMode.Unmarshal(e.Body, cmd); err != nil {
		return nil, 0, errs.New(errs.Invalid, "decode command", "", "body of kind %d: %v", e.Kind, err)
	}
	return cmd, e.UnixMillis, nil
}

func newCommand(kind commandKind) command {
	switch kind {
	case kindPlan:
		return &planCommand{}
	case kindDecide:
		return &decideCommand{}
	case kindGroup:
		return &groupCommand{}
	case kindEntryPut:
		return &entryPutCommand{}
	case kindEntryExpire:
		return &entryExpireCommand{}
	case kindShards:
		return &shardsCommand{}
	case kindServers:
		return &serversCommand{}
	case kindRecordOpen:
		return &recordOpenCommand{}
	case kindRecordEnd:
		return &recordEndCommand{}
	case kindSuspect:
		return &suspectCommand{}
	case kindQuarantine:
		return &quarantineCommand{}
	case kindExpire:
		return &expireCommand{}
	case kindLead:
		return &leadCommand{}
	case kindRecover:
		return &recoverCommand{}
	case kindLease:
		return &leaseCommand{}
	case kindPublish:
		return &publishCommand{}
	case kindDomain:
		return &domainCommand{}
	case kindDepart:
		return &departCommand{}
	case kindPublishUnpacked:
		return &unpackedPublishCommand{}
	}
	return nil
}

// tx collects the effects of one command.
type tx struct {
	*State
	// now is the time of the command, in Unix milliseconds.
	now     int64
	changed bool
	keys    []viewKey
}

// nextRevision is the revision that the command creates if it changes the view.
func (t *tx) nextRevision() api.Revision { return t.Revision() + 1 }

// markChanged records a changed row of the view.
func (t *tx) markChanged(table viewTable, key string) {
	t.changed = true
	t.keys = append(t.keys, viewKey{table: table, key: key})
}
