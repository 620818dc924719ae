package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrRefused is returned when a stand-in refuses a driver's request.
var ErrRefused = errors.New("stand-in refused")

// adminTimeout bounds a driver's request to a stand-in.
const adminTimeout = 10 * time.Second

// RemotePlatform drives a platform in another process.
type RemotePlatform struct{ Addr string }

// Publish sets the document under a key.
func (p RemotePlatform) Publish(key string, body []byte) error {
	return command("PUT", p.Addr, "/admin/values/"+key, body)
}

// SetInstance adds or replaces an entry of the list.
func (p RemotePlatform) SetInstance(in Instance) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("set instance: %w", err)
	}
	return command("PUT", p.Addr, "/admin/instances/"+in.ID, body)
}

// Reads returns the load on the platform.
func (p RemotePlatform) Reads() (Reads, error) {
	var out Reads
	err := fetchJSON(p.Addr, "/admin/reads", &out)
	return out, err
}

// RemoteWorker drives a worker in another process by its admin address.
type RemoteWorker struct{ Admin string }

// Set changes the worker's behaviour, as in "factor=10&drain=on".
func (w RemoteWorker) Set(query string) error {
	return command("POST", w.Admin, "/admin/set?"+query, nil)
}

// Executions returns the worker's record.
func (w RemoteWorker) Executions() (ExecutionsAnswer, error) {
	var out ExecutionsAnswer
	err := fetchJSON(w.Admin, "/admin/executions", &out)
	return out, err
}

// command sends one driver's request.
func command(method, addr, path string, body []byte) error {
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
		return fmt.Errorf("%s %s: %d %s: %w", method, path, resp.StatusCode(), resp.Body(), ErrRefused)
	}
	return nil
}

// fetch gets a path.
func fetch(addr, path string, timeout time.Duration) ([]byte, error) {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, timeout)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", path, err)
	}
	if code != fasthttp.StatusOK {
		return nil, fmt.Errorf("get %s: %d: %w", path, code, ErrRefused)
	}
	return body, nil
}

// fetchJSON gets a path and decodes the answer.
func fetchJSON(addr, path string, into any) error {
	body, err := fetch(addr, path, adminTimeout)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
