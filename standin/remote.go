package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrRejected is returned when a request gets a status other than 200.
var ErrRejected = errors.New("request rejected")

// adminTimeout limits the duration of an admin request to a stand-in.
const adminTimeout = 10 * time.Second

// RemotePlatform is an admin client for a platform in another process.
type RemotePlatform struct{ Addr string }

// Publish sets the document for a key.
func (p RemotePlatform) Publish(key string, body []byte) error {
	return sendCommand("PUT", p.Addr, "/admin/values/"+key, body)
}

// SetInstance adds or replaces an entry of the instance list.
func (p RemotePlatform) SetInstance(in Instance) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("set instance: %w", err)
	}
	return sendCommand("PUT", p.Addr, "/admin/instances/"+in.ID, body)
}

// Reads returns the number and rate of reads.
func (p RemotePlatform) Reads() (ReadStats, error) {
	var out ReadStats
	err := fetchJSON(p.Addr, "/admin/reads", &out)
	return out, err
}

// RemoteWorker is an admin client for a worker in another process.
type RemoteWorker struct{ Admin string }

// Set changes the behavior of the worker, as in "factor=10&drain=on".
func (w RemoteWorker) Set(query string) error {
	return sendCommand("POST", w.Admin, "/admin/set?"+query, nil)
}

// Executions returns the executions recorded by the worker.
func (w RemoteWorker) Executions() (ExecutionsResponse, error) {
	var out ExecutionsResponse
	err := fetchJSON(w.Admin, "/admin/executions", &out)
	return out, err
}

// sendCommand sends an admin request.
func sendCommand(method, addr, path string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, adminTimeout); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s: %w", method, path, resp.StatusCode(), resp.Body(), ErrRejected)
	}
	return nil
}

// fetch sends a GET request and returns the response body.
func fetch(addr, path string, timeout time.Duration) ([]byte, error) {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, timeout)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", path, err)
	}
	if code != fasthttp.StatusOK {
		return nil, fmt.Errorf("get %s: status %d: %w", path, code, ErrRejected)
	}
	return body, nil
}

// fetchJSON sends a GET request and decodes the JSON response into out.
func fetchJSON(addr, path string, out any) error {
	body, err := fetch(addr, path, adminTimeout)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode response of %s: %w", path, err)
	}
	return nil
}
