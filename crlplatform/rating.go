package crlplatform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// RatingRequest is the JSON body of a call that asks for the rating of one answer.
type RatingRequest struct {
	Request crlid.Request `json:"request"`
	Version crlid.Version `json:"version"`
	Prompt  string        `json:"prompt"`
	Answer  string        `json:"answer"`
}

// RatingClient is an HTTP client of the platform's answer rating service. It is safe for concurrent use.
type RatingClient struct {
	url    string
	client *http.Client
}

// RatingClientConfig configures a RatingClient.
type RatingClientConfig struct {
	URL    string       // URL of the rating call
	Client *http.Client // sends the requests
}

// NewRatingClient returns a client of the rating service at config.URL. It sends nothing yet.
func NewRatingClient(config RatingClientConfig) *RatingClient {
	return &RatingClient{url: config.URL, client: config.Client}
}

// Rate returns the quality of an answer, between 0 and 1. The error is an *Error.
func (c *RatingClient) Rate(ctx context.Context, request RatingRequest) (crlid.Quality, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, &Error{Service: "rating", Action: "encode rating request", Err: err}
	}
	var reply struct {
		Quality crlid.Quality `json:"quality"`
	}
	call := httpCall{service: "rating", action: "rate", method: http.MethodPost, url: c.url, body: body}
	if err := call.do(ctx, c.client, &reply); err != nil {
		return 0, err
	}
	return reply.Quality, nil
}
