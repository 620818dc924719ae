package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/spread"
)

// maxValueBytes is the maximum size of a value in the service.
const maxValueBytes = 1 << 20

var (
	// ErrUnavailable means that the service did not respond, returned an
	// unexpected status, or has no address set.
	ErrUnavailable = errors.New("registry: unavailable")
	// ErrNotFound means that the service has no value under the key.
	ErrNotFound = errors.New("registry: key not found")
	// ErrBadResponse means that the response violates the protocol.
	ErrBadResponse = errors.New("registry: bad response")
)

// Config configures a Client.
type Config struct {
	// Addresses are the IP:PORT addresses of the service. The client moves on
	// to the next one when one fails.
	Addresses []string
	// CallTimeout limits a call, in addition to its waiting time; 0 means 2 s.
	CallTimeout time.Duration
}

// Client reads from the service. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	pools   []*exchange.Pool
	next    atomic.Uint32
	calls   atomic.Int64
}

// New returns a Client that connects on the first call.
func New(cfg Config) *Client {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = 2 * time.Second
	}
	c := &Client{timeout: cfg.CallTimeout}
	for _, address := range cfg.Addresses {
		c.pools = append(c.pools, exchange.New(exchange.Config{Address: address, MaxConns: 8}))
	}
	return c
}

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Index lists the keys that changed after a version.
type Index struct {
	Version uint64              `json:"version"`
	Keys    []spread.KeyVersion `json:"keys"`
}

// Instances is the service's list of instances, which may lag behind.
type Instances struct {
	Version   uint64                 `json:"version"`
	Instances []membership.ListEntry `json:"instances"`
}

// Index waits up to wait for a key newer than version after and returns the
// changes.
func (c *Client) Index(ctx context.Context, after uint64, wait time.Duration) (Index, error) {
	var index Index
	err := c.getJSON(ctx, "/v1/index", after, wait, &index)
	return index, err
}

// Instances waits up to wait for a list newer than version after and returns it.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (Instances, error) {
	var list Instances
	err := c.getJSON(ctx, "/v1/instances", after, wait, &list)
	return list, err
}

// Value returns the raw document under a key and its version.
func (c *Client) Value(ctx context.Context, key string) ([]byte, uint64, error) {
	path := (&url.URL{Path: "/v1/values/" + key}).EscapedPath()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.get(ctx, path, c.timeout, resp); err != nil {
		return nil, 0, fmt.Errorf("read %s: %w", key, err)
	}
	version, err := strconv.ParseUint(string(resp.Header.Peek("X-Version")), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("read %s: %w: invalid X-Version header", key, ErrBadResponse)
	}
	return append([]byte(nil), resp.Body()...), version, nil
}

func (c *Client) getJSON(ctx context.Context, path string, after uint64, wait time.Duration, v any) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	uri := fmt.Sprintf("%s?after=%d&waitMs=%d", path, after, wait.Milliseconds())
	if err := c.get(ctx, uri, wait+c.timeout, resp); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return fmt.Errorf("read %s: %w: %w", path, ErrBadResponse, err)
	}
	return nil
}

// get calls the current address of the service. After a connection error or an
// unexpected status, the next call uses the next address.
func (c *Client) get(ctx context.Context, uri string, timeout time.Duration, resp *fasthttp.Response) error {
	if len(c.pools) == 0 {
		return fmt.Errorf("%w: no address set", ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.calls.Add(1)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(uri)
	req.Header.SetHost("platform")
	pool := c.pools[int(c.next.Load())%len(c.pools)]
	if err := pool.Do(ctx, req, resp); err != nil {
		c.next.Add(1)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := readBody(resp); err != nil {
		return err
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return ErrNotFound
	}
	c.next.Add(1)
	return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode())
}
