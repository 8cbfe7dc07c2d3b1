// Package engine implements kumquathitch.Engine over HTTP.
//
// # Usage
//
//	engines := engine.NewClient(2 * time.Second)
//	report, err := engines.Load(ctx, "10.0.1.4:8000")
//
// A call ends at the deadline of its context or after the client's timeout, whichever
// comes first.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// Client calls the control interface of model engines over HTTP. It is safe for
// concurrent use.
type Client struct {
	client *http.Client
}

// NewClient returns a client whose calls take at most timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{client: &http.Client{Timeout: timeout}}
}

// Load fetches an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (kumquathitch.LoadReport, error) {
	var report kumquathitch.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, eris.Wrap(err, "Client.Load")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return report, eris.Wrap(err, "Client.Load")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, eris.Errorf("Client.Load: status %d", response.StatusCode)
	}
	return report, eris.Wrap(json.NewDecoder(response.Body).Decode(&report), "Client.Load")
}

// fenceConflict is the body of the response to an order with an outdated fencing token.
type fenceConflict struct {
	CurrentFence uint64 `json:"current-fence"`
}

// Order sends an order, at most once. After a *kumquathitch.FenceError the order
// was not executed; after any other error it may still be executed.
func (c *Client) Order(ctx context.Context, address string, order kumquathitch.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "Client.Order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "Client.Order")
	}
	request.GetBody = nil // Without GetBody, net/http cannot resend the order.
	response, err := c.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "Client.Order")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		var conflict fenceConflict
		if err := json.NewDecoder(response.Body).Decode(&conflict); err != nil {
			return eris.Wrap(err, "Client.Order")
		}
		return &kumquathitch.FenceError{Sent: order.Fence, Current: conflict.CurrentFence}
	default:
		return eris.Errorf("Client.Order: status %d", response.StatusCode)
	}
}
