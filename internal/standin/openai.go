package standin

import "github.com/crocusway/crocusway/internal/api"

// The subset of the OpenAI completions API that the simulated engine implements.

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (c *completion) usage() *usage {
	u := &usage{PromptTokens: len(c.body.prompt()) / BytesPerToken, CompletionTokens: c.body.MaxTokens}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = c.cached * BlockBytes / BytesPerToken
	return u
}

// fullResponse returns the body of a response that is not streamed.
func (c *completion) fullResponse(text string) completionResponse {
	reason := "length"
	ch := choice{FinishReason: &reason}
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	return completionResponse{
		ID: string(c.id), Object: object, Model: c.body.Model, Choices: []choice{ch}, Usage: c.usage(),
	}
}

// chunk returns the event of token i of a request. The last one contains the
// usage.
func (c *completion) chunk(id api.RequestID, i int) completionResponse {
	text := TokenText(id, i)
	var ch choice
	object := "text_completion"
	if c.chat {
		object = "chat.completion.chunk"
		ch.Delta = &delta{Content: text}
		if i == 1 {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	answer := completionResponse{ID: string(id), Object: object, Model: c.body.Model}
	if i == c.body.MaxTokens {
		reason := "length"
		ch.FinishReason = &reason
		answer.Usage = c.usage()
	}
	answer.Choices = []choice{ch}
	return answer
}
