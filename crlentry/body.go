package crlentry

import "encoding/json"

// chatBody is a chat request whose other fields pass through unread.
type chatBody map[string]json.RawMessage

// parseChat returns the wanted model and whether a stream is wanted, or a refusal.
func parseChat(body []byte) (wanted string, streamed bool, refusal *Refusal) {
	var head struct {
		Model    string            `json:"model"`
		Messages []json.RawMessage `json:"messages"`
		Stream   bool              `json:"stream"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return "", false, refuse(CodeMalformedRequest, "body is not a chat request: %v", err)
	}
	if len(head.Messages) == 0 {
		return "", false, refuse(CodeMalformedRequest, "messages must not be empty")
	}
	return head.Model, head.Stream, nil
}

// body returns the chat request as the engine gets it: streamed, and for the chosen version.
func (x *exchange) engineBody() []byte {
	var fields chatBody
	if err := json.Unmarshal(x.call.Body, &fields); err != nil {
		return x.call.Body
	}
	version, _ := json.Marshal(x.version)
	fields["model"] = version
	fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(fields)
	if err != nil {
		return x.call.Body
	}
	return body
}
