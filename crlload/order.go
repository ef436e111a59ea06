package crlload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// OrderReport states when an order was sent and how many new requests its watched servers ran afterwards.
type OrderReport struct {
	Name         string         `json:"name"`
	SentAt       time.Time      `json:"given"`
	Watch        []crlid.Server `json:"watch,omitempty"`
	NewRequests  int            `json:"later-runs"`  // on the watched servers, until the next order was sent
	LastNewAfter time.Duration  `json:"last-new-ns"` // time from the order to the last of the new requests
}

// serverRun records one request that a fake backend server ran. It decodes the part of crlfake.Run that a report uses.
type serverRun struct {
	Time     time.Time    `json:"time"`
	Server   crlid.Server `json:"server"`
	Resumed  bool         `json:"resumed"`
	Overload bool         `json:"overload"`
}

// runOrders sends the orders of a phase when they are due, in the order of the file. It stops at the first that fails.
func (r *Runner) runOrders(ctx context.Context, phase Phase, start time.Time) error {
	for _, o := range r.config.Experiment.Orders {
		if o.Phase != phase.Name {
			continue
		}
		if !sleepUntil(ctx, start.Add(o.After)) {
			return ctx.Err()
		}
		sentAt := time.Now()
		if err := r.caller.sendOrder(ctx, o); err != nil {
			return fmt.Errorf("send order %s: %w", o.Name, err)
		}
		r.orders = append(r.orders, OrderReport{Name: o.Name, SentAt: sentAt, Watch: o.Watch})
	}
	return nil
}

// sendOrder sends an order. It fails unless the answer has a status below 300.
func (c *caller) sendOrder(ctx context.Context, order Order) error {
	body := order.Body
	if order.Configuration != "" {
		content, err := os.ReadFile(order.Configuration)
		if err != nil {
			return err
		}
		raw, err := json.Marshal(crlconfig.Publication{ID: uuid.NewString(), Force: true, Content: content})
		if err != nil {
			return err
		}
		body = string(raw)
	}
	request, err := http.NewRequestWithContext(ctx, order.Method, order.URL, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}

// fetchRuns returns the runs that the fake backend servers recorded.
func (c *caller) fetchRuns(ctx context.Context, url string) ([]serverRun, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch history of runs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var runs []serverRun
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return nil, fmt.Errorf("decode history of runs: %w", err)
	}
	return runs, nil
}

// addHistory counts, in the runs since the experiment began, the overloads of cold servers and, for each order, the new
// requests on its watched servers.
func (r *Report) addHistory(runs []serverRun) {
	runs = slices.DeleteFunc(runs, func(run serverRun) bool { return run.Time.Before(r.Began) })
	for _, run := range runs {
		if run.Overload {
			r.Overloads++
		}
	}
	for i := range r.Orders {
		order := &r.Orders[i]
		for _, run := range runs {
			if run.Resumed || !slices.Contains(order.Watch, run.Server) || run.Time.Before(order.SentAt) {
				continue
			}
			if i+1 < len(r.Orders) && !run.Time.Before(r.Orders[i+1].SentAt) {
				continue
			}
			order.NewRequests++
			order.LastNewAfter = max(order.LastNewAfter, run.Time.Sub(order.SentAt))
		}
	}
}
