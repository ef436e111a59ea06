package crlplatform

import (
	"context"
	"net/http"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=VMState -trimprefix=VM -transform=kebab -json -text -output=vmstate_enumer.go

// VMState is the state of a VM in the VM list.
type VMState int

// States of a VM.
const (
	VMLive VMState = iota
	VMLeaving
)

// VM is an entry of the VM list. The list lags behind the actual state of the VMs.
type VM struct {
	Daemon  crlid.Daemon `json:"daemon"`
	Address string       `json:"address"` // IP address and port for calls between daemons
	Domain  crlid.Domain `json:"domain"`
	State   VMState      `json:"state"`
}

// VMListClient is an HTTP client of the platform's VM list. It is safe for concurrent use.
type VMListClient struct {
	url    string
	client *http.Client
}

// VMListClientConfig configures a VMListClient.
type VMListClientConfig struct {
	URL    string       // URL of the list
	Client *http.Client // sends the requests
}

// NewVMListClient returns a client of the VM list at config.URL. It sends nothing yet.
func NewVMListClient(config VMListClientConfig) *VMListClient {
	return &VMListClient{url: config.URL, client: config.Client}
}

// List returns all entries of the VM list. The error is an *Error.
func (c *VMListClient) List(ctx context.Context) ([]VM, error) {
	var vms []VM
	call := httpCall{service: "vm list", action: "list", method: http.MethodGet, url: c.url}
	if err := call.do(ctx, c.client, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}
