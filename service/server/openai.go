package server

import (
	"encoding/json"
	"fmt"
	"strings"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

// The types in this file follow the OpenAI API. Unknown fields are accepted, because client libraries send many.

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type completionRequest struct {
	Model               identifier.EntryName `json:"model"`
	Messages            []chatMessage        `json:"messages"`
	Prompt              json.RawMessage      `json:"prompt"`
	MaxTokens           *identifier.Tokens   `json:"max_tokens"`
	MaxCompletionTokens *identifier.Tokens   `json:"max_completion_tokens"`
	Temperature         *float64             `json:"temperature"`
	Seed                int64                `json:"seed"`
	N                   *int                 `json:"n"`
	Stream              bool                 `json:"stream"`
	StreamOptions       *streamOptions       `json:"stream_options"`
	Tools               []json.RawMessage    `json:"tools"`
	Stop                json.RawMessage      `json:"stop"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type usage struct {
	PromptTokens     identifier.Tokens `json:"prompt_tokens"`
	CompletionTokens identifier.Tokens `json:"completion_tokens"`
	TotalTokens      identifier.Tokens `json:"total_tokens"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *textMessage `json:"message,omitempty"`
	Delta        *textMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type textMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID       string               `json:"id"`
	Object   string               `json:"object"`
	Created  int64                `json:"created"`
	Model    identifier.EntryName `json:"model"`
	Choices  []choice             `json:"choices"`
	Usage    *usage               `json:"usage,omitempty"`
	Segments []codec.Segment      `json:"celerygap_segments,omitempty"`
}

type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func newOpenAIError(r *refuser.Refusal) openAIError {
	return openAIError{Message: r.Detail, Type: string(r.Outcome), Code: string(r.Reason)}
}

func (r *completionRequest) check() error {
	if r.Model == "" {
		return invalidField("model", "want the name of a catalogue entry of kind model")
	}
	if r.N != nil && *r.N != 1 {
		return invalidField("n", "%d is not accepted; want 1", *r.N)
	}
	if len(r.Tools) > 0 {
		return invalidField("tools", "not supported; want none")
	}
	if len(r.Stop) > 0 && string(r.Stop) != "null" {
		return invalidField("stop", "not supported; want none")
	}
	if tokens := r.maxTokens(); tokens < 1 {
		return invalidField("max_tokens", "%d is not accepted; want at least 1", tokens)
	}
	return nil
}

// defaultMaxTokens bounds a completion whose request sets no limit.
const defaultMaxTokens identifier.Tokens = 256

func (r *completionRequest) maxTokens() identifier.Tokens {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func (r *completionRequest) temperature() float64 {
	if r.Temperature == nil {
		return 1
	}
	return *r.Temperature
}

func (r *completionRequest) chatPrompt() (string, error) {
	if len(r.Messages) == 0 {
		return "", invalidField("messages", "want at least one message")
	}
	var b strings.Builder
	for i, message := range r.Messages {
		content, err := message.text()
		if err != nil {
			return "", invalidField(fmt.Sprintf("messages[%d].content", i), "%v", err)
		}
		fmt.Fprintf(&b, "%s: %s\n", message.Role, content)
	}
	return b.String(), nil
}

func (m chatMessage) text() (string, error) {
	var content string
	if json.Unmarshal(m.Content, &content) == nil {
		return content, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("want a string or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("part type %q is not accepted; want text", part.Type)
		}
		b.WriteString(part.Text)
	}
	return b.String(), nil
}

func (r *completionRequest) textPrompt() (string, error) {
	var prompt string
	if err := json.Unmarshal(r.Prompt, &prompt); err != nil || prompt == "" {
		return "", invalidField("prompt", "want a non-empty string")
	}
	return prompt, nil
}
