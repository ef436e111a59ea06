package crlentry

import "encoding/json"

// chatBody is a chat request whose fields are kept undecoded, so that those unknown to the router reach the engine unchanged.
type chatBody map[string]json.RawMessage

// parseChat returns the model that the caller asks for and whether it asks for a stream, or a refusal of an invalid body.
func parseChat(body []byte) (wanted string, streamed bool, refusal *Refusal) {
	var head struct {
		Model    string            `json:"model"`
		Messages []json.RawMessage `json:"messages"`
		Stream   bool              `json:"stream"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return "", false, refuse(CodeMalformedRequest, "request body is not a chat request: %v", err)
	}
	if len(head.Messages) == 0 {
		return "", false, refuse(CodeMalformedRequest, "messages must not be empty")
	}
	return head.Model, head.Stream, nil
}

// engineBody returns the chat request as it is sent to the engine: with the chosen version as model, and always streamed.
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
