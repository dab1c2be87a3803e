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
	// maxTokens bounds the number of tokens that a caller may ask for.
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
	// tokens is the number of tokens that the caller asks for, 0 if it names none.
	tokens int
	// blocks are chained hashes of the leading blocks of the prompt.
	blocks []uint64
}

// generationBody lists the fields that the request path reads. Others are the
// engine's and pass as they are.
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
		return generation{}, badField("body", "malformed", "a JSON object: "+err.Error())
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
		return badField("model", "missing", "the name of a model")
	}
	if len(*b.Model) > maxModelBytes {
		return badField("model", strconv.Itoa(len(*b.Model))+" bytes long", "at most "+strconv.Itoa(maxModelBytes))
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
			return badField("prompt", "missing", "a string or an array")
		}
		if b.Prompt[0] != '"' && b.Prompt[0] != '[' {
			return badField("prompt", quote(b.Prompt), "a string or an array")
		}
		return nil
	}
	if isAbsent(b.Messages) {
		return badField("messages", "missing", "an array of at least 1 message")
	}
	if b.Messages[0] != '[' || len(bytes.TrimSpace(b.Messages[1:len(b.Messages)-1])) == 0 {
		return badField("messages", quote(b.Messages), "an array of at least 1 message")
	}
	return nil
}

func (b *generationBody) prompt(kind callKind) []byte {
	if kind == callCompletion {
		return b.Prompt
	}
	return b.Messages
}

// tokens returns the checked number of requested tokens, 0 if there is none.
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
	return badField(field, quote(raw), "true or false")
}

func checkTokens(field string, raw json.RawMessage) *refusal {
	if isAbsent(raw) {
		return nil
	}
	n, err := strconv.Atoi(string(raw))
	if err != nil || n < 1 || n > maxTokens {
		return badField(field, quote(raw), "a whole number from 1 to "+strconv.Itoa(maxTokens))
	}
	return nil
}

// prefixBlocks hashes the leading whole blocks of a prompt. Each hash covers
// all bytes before it, so that equal hashes stand for equal prefixes.
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
