// Package objectclient implements platform.Store, the platform's object API, over HTTP.
// Client bounds every call by a time-out and a response size, limits the rates of reads
// and writes with token buckets, and counts calls and bytes by kind of call. It does not
// retry; see platform.PutWithRetry.
package objectclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"egretroad/internal/platform"
)

// Options configures the limits of a client.
type Options struct {
	BindIP           string        // source IP address of connections; empty: any
	DialTimeout      time.Duration // time to connect
	CallTimeout      time.Duration // time from the call to its complete response; a watch adds its wait
	MaxResponseBytes int64         // maximum body size; a longer response is an error
	MaxConnections   int           // maximum number of connections to the platform
	ReadsPerSecond   float64       // rate limit of reads and watches
	ReadBurst        int           // burst size of reads and watches
	WritesPerSecond  float64       // rate limit of changes
	WriteBurst       int           // burst size of changes
}

// DefaultOptions returns the options for a proxy process. Watches cover catalogue
// entries and groups.
func DefaultOptions() Options {
	return Options{
		DialTimeout:      2 * time.Second,
		CallTimeout:      5 * time.Second,
		MaxResponseBytes: 64 << 20,
		MaxConnections:   16,
		ReadsPerSecond:   10,
		ReadBurst:        40,
		WritesPerSecond:  10,
		WriteBurst:       40,
	}
}

// Client calls the platform's object API over HTTP. It implements platform.Store and is
// safe for concurrent use; a slow response does not delay other calls.
type Client struct {
	base   string
	opts   Options
	http   *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
	usage  usage
}

// New returns a client of the API at the base URL, e.g. "http://127.0.250.1:8080".
func New(base string, opts Options) *Client {
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	if opts.BindIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(opts.BindIP)}
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     opts.MaxConnections,
		MaxIdleConnsPerHost: opts.MaxConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		base:   strings.TrimRight(base, "/"),
		opts:   opts,
		http:   &http.Client{Transport: transport},
		reads:  rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), opts.ReadBurst),
		writes: rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WriteBurst),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	var o platform.Object
	err := c.call(ctx, request{call: CallGet, method: http.MethodGet, path: objectPath(kind, name), kind: kind, name: name}, &o)
	return o, err
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, kind string) (platform.ObjectList, error) {
	var l platform.ObjectList
	err := c.call(ctx, request{call: CallList, method: http.MethodGet, path: platform.PathObjects + url.PathEscape(kind), kind: kind}, &l)
	return l, err
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, &platform.ValueTooLargeError{Kind: kind, Name: name, Bytes: len(value)}
	}
	body, err := json.Marshal(platform.PutRequest{IfVersion: ifVersion, Value: value})
	if err != nil {
		return platform.Object{}, &platform.InvalidValueError{Kind: kind, Name: name, Cause: err}
	}
	var o platform.Object
	err = c.call(ctx, request{call: CallPut, method: http.MethodPut, path: objectPath(kind, name), kind: kind, name: name, ifVersion: ifVersion, body: body}, &o)
	return o, err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) (platform.Object, error) {
	path := objectPath(kind, name) + "?ifVersion=" + strconv.FormatUint(ifVersion, 10)
	var o platform.Object
	err := c.call(ctx, request{call: CallDelete, method: http.MethodDelete, path: path, kind: kind, name: name, ifVersion: ifVersion}, &o)
	return o, err
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) (platform.WatchResponse, error) {
	query := url.Values{
		"since":  {strconv.FormatUint(since, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if len(kinds) > 0 {
		query.Set("kinds", strings.Join(kinds, ","))
	}
	var r platform.WatchResponse
	err := c.call(ctx, request{call: CallWatch, method: http.MethodGet, path: platform.PathWatch + "?" + query.Encode(), since: since, watchWait: wait}, &r)
	return r, err
}

// VMs implements platform.Store.
func (c *Client) VMs(ctx context.Context) (platform.VMList, error) {
	var l platform.VMList
	err := c.call(ctx, request{call: CallVMs, method: http.MethodGet, path: platform.PathVMs}, &l)
	return l, err
}

// Probe implements platform.Store. The list of VMs is the smallest response of the API.
func (c *Client) Probe(ctx context.Context) error {
	_, err := c.VMs(ctx)
	return err
}

// request describes one API call.
type request struct {
	call       Call
	method     string
	path       string
	kind, name string
	ifVersion  uint64
	since      uint64
	body       []byte
	watchWait  time.Duration // of a watch; added to the call's time-out
}

func objectPath(kind, name string) string {
	return platform.PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call sends one request, subject to the rate limit, and decodes its response into out.
func (c *Client) call(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout+r.watchWait)
	defer cancel()
	if err := c.limiter(r).Wait(ctx); err != nil {
		return &platform.UnavailableError{Call: string(r.call), Cause: &platform.BudgetError{Call: string(r.call), Cause: err}}
	}
	status, body, err := c.roundTrip(ctx, r)
	if err != nil {
		c.usage.addFailed(r.call)
		return &platform.UnavailableError{Call: string(r.call), Cause: err}
	}
	return decodeResponse(r, status, body, out)
}

func (c *Client) limiter(r request) *rate.Limiter {
	if r.method == http.MethodGet {
		return c.reads
	}
	return c.writes
}

// roundTrip sends the request and returns the status and body of the response.
func (c *Client) roundTrip(ctx context.Context, r request) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	c.usage.addSent(r.call, len(r.path)+len(r.body))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(body)) > c.opts.MaxResponseBytes {
		return 0, nil, &platform.ResponseTooLargeError{Call: string(r.call), LimitBytes: c.opts.MaxResponseBytes}
	}
	c.usage.addReceived(r.call, len(body))
	return resp.StatusCode, body, nil
}

// decodeResponse decodes a successful response into out and maps other statuses to
// typed errors.
func decodeResponse(r request, status int, body []byte, out any) error {
	switch {
	case status >= 200 && status < 300:
		return decodeBody(r, body, out)
	case status == http.StatusNotFound && r.name != "":
		return &platform.NotFoundError{Kind: r.kind, Name: r.name}
	case status == http.StatusConflict:
		conflict := &platform.ConflictError{Kind: r.kind, Name: r.name, IfVersion: r.ifVersion}
		if err := decodeBody(r, body, &conflict.Current); err != nil {
			return err
		}
		return conflict
	case status == http.StatusGone:
		return &platform.CompactedError{Since: r.since}
	case status >= 500 || status == http.StatusTooManyRequests:
		return &platform.UnavailableError{Call: string(r.call), Cause: &platform.StatusError{Status: status, Body: string(body)}}
	default:
		return &platform.RejectedError{Call: string(r.call), Status: status, Body: string(body)}
	}
}

func decodeBody(r request, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return &platform.UnavailableError{Call: string(r.call), Cause: fmt.Errorf("cannot decode response: %w", err)}
	}
	return nil
}
