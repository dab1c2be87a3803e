package pipeline

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxModelBytes bounds the name of a model.
	maxModelBytes = 128
	// maxTokens bounds the requested number of tokens.
	maxTokens = 1 << 20
	// prefixBlockBytes is the length of one hashed block of the prompt.
	prefixBlockBytes = 512
	// maxPrefixBlocks bounds the hashed blocks of one prompt.
	maxPrefixBlocks = 32
)

// generation is a parsed request to a model.
type generation struct {
	model  string
	stream bool
	// tokens is the requested number of tokens, 0 if none is given.
	tokens int
	// blocks are chained hashes of the leading blocks of the prompt.
	blocks []uint64
}

// generationBody lists the fields that the request path reads. Other fields
// reach the engine unchanged.
type generationBody struct {
	Model               *string         `json:"model"`
	Stream              json.RawMessage `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           json.RawMessage `json:"max_tokens"`
	MaxCompletionTokens json.RawMessage `json:"max_completion_tokens"`
}

// parseGeneration parses the body of a model request.
func parseGeneration(kind callKind, body []byte) (generation, *refusal) {
	var b generationBody
	if err := json.Unmarshal(body, &b); err != nil {
		return generation{}, invalidField("body", "malformed", "a JSON object: "+err.Error())
	}
	if bad := b.check(kind); bad != nil {
		return generation{}, bad
	}
	return generation{
		model:  *b.Model,
		stream: string(b.Stream) == "true",
		tokens: b.tokens(),
		blocks: prefixBlocks(*b.Model, b.prompt(kind)),
	}, nil
}

func (b *generationBody) check(kind callKind) *refusal {
	if b.Model == nil || *b.Model == "" {
		return invalidField("model", "missing", "the name of a model")
	}
	if len(*b.Model) > maxModelBytes {
		return invalidField("model", strconv.Itoa(len(*b.Model))+" bytes long", "at most "+strconv.Itoa(maxModelBytes))
	}
	if bad := checkBool("stream", b.Stream); bad != nil {
		return bad
	}
	if bad := checkTokens("max_tokens", b.MaxTokens); bad != nil {
		return bad
	}
	if bad := checkTokens("max_completion_tokens", b.MaxCompletionTokens); bad != nil {
		return bad
	}
	return b.checkPrompt(kind)
}

func (b *generationBody) checkPrompt(kind callKind) *refusal {
	if kind == callCompletion {
		if isAbsent(b.Prompt) {
			return invalidField("prompt", "missing", "a string or an array")
		}
		if b.Prompt[0] != '"' && b.Prompt[0] != '[' {
			return invalidField("prompt", quote(b.Prompt), "a string or an array")
		}
		return nil
	}
	if isAbsent(b.Messages) {
		return invalidField("messages", "missing", "an array of at least 1 message")
	}
	if b.Messages[0] != '[' || len(bytes.TrimSpace(b.Messages[1:len(b.Messages)-1])) == 0 {
		return invalidField("messages", quote(b.Messages), "an array of at least 1 message")
	}
	return nil
}

func (b *generationBody) prompt(kind callKind) []byte {
	if kind == callCompletion {
		return b.Prompt
	}
	return b.Messages
}

// tokens returns the requested number of tokens, 0 if none is given. The fields
// must have been checked.
func (b *generationBody) tokens() int {
	raw := b.MaxCompletionTokens
	if isAbsent(raw) {
		raw = b.MaxTokens
	}
	n, _ := strconv.Atoi(string(raw))
	return n
}

func isAbsent(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

func checkBool(field string, raw json.RawMessage) *refusal {
	if isAbsent(raw) || string(raw) == "true" || string(raw) == "false" {
		return nil
	}
	return invalidField(field, quote(raw), "true or false")
}

func checkTokens(field string, raw json.RawMessage) *refusal {
	if isAbsent(raw) {
		return nil
	}
	n, err := strconv.Atoi(string(raw))
	if err != nil || n < 1 || n > maxTokens {
		return invalidField(field, quote(raw), "a whole number from 1 to "+strconv.Itoa(maxTokens))
	}
	return nil
}

// prefixBlocks hashes the leading whole blocks of a prompt. Each hash covers the
// model and all bytes up to the end of its block, so equal hashes mean equal
// prefixes.
func prefixBlocks(model string, prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	blocks := make([]uint64, 0, n)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	for i := range n {
		_, _ = d.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		blocks = append(blocks, d.Sum64())
	}
	return blocks
}
