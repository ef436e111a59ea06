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

// OrderReport tells when an order was given and what ran on the watched servers afterwards.
type OrderReport struct {
	Name         string         `json:"name"`
	SentAt       time.Time      `json:"given"`
	Watch        []crlid.Server `json:"watch,omitempty"`
	NewRequests  int            `json:"later-runs"`  // Later counts new requests on the watched servers until the next order.
	LastNewAfter time.Duration  `json:"last-new-ns"` // LastNew is the time from the order to the last of them.
}

// run is what a stand-in tells of one request.
type serverRun struct {
	Time     time.Time    `json:"time"`
	Server   crlid.Server `json:"server"`
	Resumed  bool         `json:"resumed"`
	Overload bool         `json:"overload"`
}

// runOrders carries out the orders of a phase when they are due.
func (r *Runner) runOrders(ctx context.Context, phase Phase, start time.Time) error {
	for _, o := range r.config.Experiment.Orders {
		if o.Phase != phase.Name {
			continue
		}
		if !sleepUntil(ctx, start.Add(o.After)) {
			return ctx.Err()
		}
		given := time.Now()
		if err := r.caller.sendOrder(ctx, o); err != nil {
			return fmt.Errorf("order %s: %w", o.Name, err)
		}
		r.orders = append(r.orders, OrderReport{Name: o.Name, SentAt: given, Watch: o.Watch})
	}
	return nil
}

// give sends an order and returns an error unless it was taken.
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

func (c *caller) fetchRuns(ctx context.Context, url string) ([]serverRun, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var runs []serverRun
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	return runs, nil
}

// readHistory fills in what the stand-ins tell of the time since the run began.
func (r *Report) addHistory(runs []serverRun) {
	runs = slices.DeleteFunc(runs, func(u serverRun) bool { return u.Time.Before(r.Began) })
	for _, u := range runs {
		if u.Overload {
			r.Overloads++
		}
	}
	for i := range r.Orders {
		o := &r.Orders[i]
		for _, u := range runs {
			if u.Resumed || !slices.Contains(o.Watch, u.Server) || u.Time.Before(o.SentAt) {
				continue
			}
			if i+1 < len(r.Orders) && !u.Time.Before(r.Orders[i+1].SentAt) {
				continue
			}
			o.NewRequests++
			o.LastNewAfter = max(o.LastNewAfter, u.Time.Sub(o.SentAt))
		}
	}
}
