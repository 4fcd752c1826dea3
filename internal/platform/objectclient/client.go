// Package objectclient is the HTTP client of the platform's object API. Every call
// is counted by kind and keeps to a budget.
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

// Options sets the bounds of a client.
type Options struct {
	BindIP          string        // source IP of connections; empty: any
	DialTimeout     time.Duration // to connect
	CallTimeout     time.Duration // from call to complete answer; a watch adds its wait
	MaxAnswerBytes  int64         // a longer answer is an error
	MaxConnections  int           // connections to the platform
	ReadsPerSecond  float64       // budget of reads and watches
	ReadBurst       int           // reads allowed at once
	WritesPerSecond float64       // budget of changes
	WriteBurst      int           // changes allowed at once
	WatchKinds      []string      // kinds that Watch asks for; empty: all
}

// DefaultOptions returns the options of a proxy's client.
func DefaultOptions() Options {
	return Options{
		DialTimeout:     2 * time.Second,
		CallTimeout:     5 * time.Second,
		MaxAnswerBytes:  64 << 20,
		MaxConnections:  16,
		ReadsPerSecond:  10,
		ReadBurst:       40,
		WritesPerSecond: 10,
		WriteBurst:      40,
		WatchKinds:      []string{platform.KindCatalogue, platform.KindGroup},
	}
}

// Client calls the platform's object API over HTTP. It implements platform.Store and is
// safe for concurrent use; a slow answer holds up no other call.
type Client struct {
	base   string
	opts   Options
	http   *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
	usage  usage
}

// New returns a client of the API at base, e.g. "http://127.0.250.1:8080".
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

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	var o platform.Object
	err := c.call(ctx, request{call: CallGet, method: http.MethodGet, path: objectPath(kind, name), kind: kind, name: name}, &o)
	return o, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) (platform.ObjectList, error) {
	var l platform.ObjectList
	err := c.call(ctx, request{call: CallList, method: http.MethodGet, path: platform.PathObjects + url.PathEscape(kind), kind: kind}, &l)
	return l, err
}

// Put implements Store.
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

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) (platform.Object, error) {
	path := objectPath(kind, name) + "?ifVersion=" + strconv.FormatUint(ifVersion, 10)
	var o platform.Object
	err := c.call(ctx, request{call: CallDelete, method: http.MethodDelete, path: path, kind: kind, name: name, ifVersion: ifVersion}, &o)
	return o, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) (platform.WatchReply, error) {
	query := url.Values{
		"since":  {strconv.FormatUint(since, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if len(c.opts.WatchKinds) > 0 {
		query.Set("kinds", strings.Join(c.opts.WatchKinds, ","))
	}
	var r platform.WatchReply
	err := c.call(ctx, request{call: CallWatch, method: http.MethodGet, path: platform.PathWatch + "?" + query.Encode(), since: since, extra: wait}, &r)
	return r, err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) (platform.VMList, error) {
	var l platform.VMList
	err := c.call(ctx, request{call: CallVMs, method: http.MethodGet, path: platform.PathVMs}, &l)
	return l, err
}

// request describes one call.
type request struct {
	call       Call
	method     string
	path       string
	kind, name string
	ifVersion  uint64
	since      uint64
	body       []byte
	extra      time.Duration // added to the call's timeout
}

func objectPath(kind, name string) string {
	return platform.PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call sends one request and decodes its answer into out.
func (c *Client) call(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout+r.extra)
	defer cancel()
	if err := c.limiter(r).Wait(ctx); err != nil {
		return &platform.UnavailableError{Call: string(r.call), Cause: &platform.BudgetError{Call: string(r.call), Cause: err}}
	}
	status, body, err := c.roundTrip(ctx, r)
	if err != nil {
		c.usage.failed(r.call)
		return &platform.UnavailableError{Call: string(r.call), Cause: err}
	}
	return decodeAnswer(r, status, body, out)
}

func (c *Client) limiter(r request) *rate.Limiter {
	if r.method == http.MethodGet {
		return c.reads
	}
	return c.writes
}

// roundTrip returns the status and body of the answer.
func (c *Client) roundTrip(ctx context.Context, r request) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	c.usage.sent(r.call, len(r.path)+len(r.body))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxAnswerBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(body)) > c.opts.MaxAnswerBytes {
		return 0, nil, &platform.AnswerTooLargeError{Call: string(r.call), LimitBytes: c.opts.MaxAnswerBytes}
	}
	c.usage.received(r.call, len(body))
	return resp.StatusCode, body, nil
}

// decodeAnswer maps an HTTP answer to a value or a typed error.
func decodeAnswer(r request, status int, body []byte, out any) error {
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
		return &platform.UnavailableError{Call: string(r.call), Cause: fmt.Errorf("answer is not the expected JSON: %w", err)}
	}
	return nil
}
