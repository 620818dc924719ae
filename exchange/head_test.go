package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
)

// receive sends a request with a body of a given length to a server that answers it with
// text and closes the connection. It returns the status and the body that arrive.
func receive(text string, upload int) (status int, body []byte, err error) {
	pool := exchange.New(exchange.Config{Dial: func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			writeResponse(text)(server, bufio.NewReader(server))
		}()
		return client, nil
	}})
	return receiveFrom(pool, upload)
}

// receiveFrom sends a request to the server of a pool, like receive. The error is the
// context's if nothing arrives in time.
func receiveFrom(pool *exchange.Pool, upload int) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, resp := newRequest(), &fasthttp.Response{}
	req.SetBodyString(strings.Repeat("u", upload))
	if err := pool.Do(ctx, req, resp); err != nil {
		return 0, nil, err
	}
	body, err = exchange.ReadBody(resp, 1<<20)
	return resp.StatusCode(), body, err
}

// TestInvalidHeadIsNoResponse: a head that is malformed ends the exchange.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	const (
		first = "HTTP/1.1 200 OK\r\nId: a\r\n"
		last  = "Content-Length: 2\r\n\r\nok"
	)
	tests := map[string]struct {
		text string
		body string
	}{
		"blank in a name":                  {text: first + "A B: c\r\n" + last},
		"blank after a name":               {text: first + "A : c\r\n" + last},
		"blank after the length's name":    {text: first + "Content-Length : 2\r\n\r\nok"},
		"blank in the length's name":       {text: first + "Content Length: 2\r\n\r\nok"},
		"blank for its first letter":       {text: first + " ontent-Length: 2\r\n\r\nok"},
		"tab for its first letter":         {text: first + "\tontent-Length: 2\r\n\r\nok"},
		"control byte in it":               {text: first + "Content\x01Length: 2\r\n\r\nok"},
		"control byte after it":            {text: first + "Content-Length\x00: 2\r\n\r\nok"},
		"blank in Transfer-Encoding":       {text: first + "Transfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"blank after Transfer-Encoding":    {text: first + "Transfer-Encoding : chunked\r\n" + last},
		"blank before the first name":      {text: "HTTP/1.1 200 OK\r\n Id: a\r\n" + last},
		"only a blank":                     {text: first + " \r\n" + last},
		"folded line":                      {text: first + " b\r\n" + last},
		"no name":                          {text: first + ": c\r\n" + last},
		"no colon":                         {text: first + "A\r\n" + last},
		"line feed in a name":              {text: first + "A\nB: c\r\n" + last},
		"line feed after a field":          {text: first + "A: b\n" + last},
		"line feed after the last field":   {text: first + "Content-Length: 2\n\r\nok"},
		"line feed at the end":             {text: first + "Content-Length: 2\r\n\nok"},
		"carriage return in a name":        {text: first + "A\rB: c\r\n" + last},
		"carriage return in a value":       {text: first + "A: b\rc: d\r\n" + last},
		"control byte in a value":          {text: first + "A: \x01\r\n" + last},
		"two lengths":                      {text: first + "Content-Length: 3\r\n" + last},
		"longer than the buffer":           {text: first + "A: " + strings.Repeat("b", 16<<10) + "\r\n" + last},
		"NUL in the reason":                {text: "HTTP/1.1 200 O\x00K\r\n" + last},
		"carriage return in the reason":    {text: "HTTP/1.1 200 O\rK\r\n" + last},
		"DEL in the reason":                {text: "HTTP/1.1 200 OK\x7f\r\n" + last},
		"escape in an interim's reason":    {text: "HTTP/1.1 103 \x1b[1m\r\n\r\n" + first + last},
		"version 2.0":                      {text: "HTTP/2.0 200 OK\r\n" + last},
		"version 1.2":                      {text: "HTTP/1.2 200 OK\r\n" + last},
		"version 0.9":                      {text: "HTTP/0.9 200 OK\r\n" + last},
		"version 1.2, chunks":              {text: "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"version 1.0, chunks":              {text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"version 1.0, chunks and a length": {text: "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"in an interim response":           {text: "HTTP/1.1 103 Early\r\nA B: c\r\n\r\n" + first + last},
		"after an interim response":        {text: "HTTP/1.1 103 Early\r\n\r\n" + first + "A B: c\r\n" + last},
		"valid":                            {text: first + last, body: "ok"},
		"valid, after empty lines":         {text: "\r\n\r\n" + first + last, body: "ok"},
		"valid, blanks around a value":     {text: first + "A:\t b \t\r\n" + last, body: "ok"},
		"valid, no value":                  {text: first + "A:\r\n" + last, body: "ok"},
		"valid, colon in a value":          {text: first + "A:B: c\r\n" + last, body: "ok"},
		"valid, bytes above 127 in values": {text: first + "A: \x80\xff\r\n" + last, body: "ok"},
		"valid, tab in the reason":         {text: "HTTP/1.1 200 O\tK\r\n" + last, body: "ok"},
		"valid, reason above 127":          {text: "HTTP/1.1 200 \xc3\xa9\xff\r\n" + last, body: "ok"},
		"valid, no reason":                 {text: "HTTP/1.1 200\r\n" + last, body: "ok"},
		"valid, version 1.0":               {text: "HTTP/1.0 200 OK\r\n" + last, body: "ok"},
		"valid, version 1.0, no length":    {text: "HTTP/1.0 200 OK\r\nA: b\r\n\r\nok", body: "ok"},
		"valid, no fields":                 {text: "HTTP/1.1 200 OK\r\n\r\nok", body: "ok"},
	}
	for name, test := range tests {
		for _, upload := range []int{1, 60 << 10} {
			t.Run(fmt.Sprintf("%s, %d B sent", name, upload), func(t *testing.T) {
				t.Parallel()
				_, body, err := receive(test.text, upload)
				if test.body != "" && (err != nil || string(body) != test.body) {
					t.Fatalf("got body %q and error %v, want body %q", body, err, test.body)
				}
				if test.body == "" && (!errors.Is(err, exchange.ErrInvalidHead) || !errors.Is(err, exchange.ErrResponseLost)) {
					t.Fatalf("got body %q and error %v, want ErrInvalidHead and ErrResponseLost", body, err)
				}
			})
		}
	}
}

// TestFieldNameBytes tries each byte as the first, a middle and the last one of a name. Only
// those of a token are valid (RFC 9110, section 5.6.2).
func TestFieldNameBytes(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, place := range []string{"%sab", "a%sb", "ab%s"} {
		for b := range 256 {
			name := fmt.Sprintf(place, []byte{byte(b)})
			// A colon ends the name: what is left of it must be one.
			valid := strings.IndexByte(token, byte(b)) >= 0 || b == ':' && name[0] != ':'
			_, body, err := receive("HTTP/1.1 200 OK\r\nId: a\r\n"+name+": c\r\nContent-Length: 2\r\n\r\nok", 0)
			if valid && string(body) != "ok" || !valid && !errors.Is(err, exchange.ErrInvalidHead) {
				t.Errorf("name %q: got body %q and error %v, want a response: %t", name, body, err, valid)
			}
		}
	}
}

// TestDamagedHeads damages each byte of a response up to the end of its head: what is
// delivered is what net/http reads, too.
func TestDamagedHeads(t *testing.T) {
	responses := map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\nLoad: 1,2,3\r\n\r\nA: b\r\n\r\nc",
		"chunks":           "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\nLoad: 1\r\n\r\n6\r\nA: b\r\n\r\n0\r\n\r\n",
		"no length":        "HTTP/1.1 200 OK\r\nId: a\r\nServer: s\r\n\r\nA: b\r\n\r\n",
		"after an interim": "HTTP/1.1 103 Early\r\nLink: l\r\n\r\nHTTP/1.1 503 Full\r\nId: a\r\nContent-Length: 4\r\n\r\nfull",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			id := strings.Index(response, "Id: a")
			head := id + strings.Index(response[id:], "\r\n\r\n") + len("\r\n\r\n")
			for at := range head {
				for _, damaged := range damages(response, at) {
					checkAgainstNetHTTP(t, damaged)
				}
			}
		})
	}
}

// damages returns the text without the byte at a position, with others in its place, and
// with others before it.
func damages(text string, at int) []string {
	before, after := text[:at], text[at+1:]
	all := []string{before + after}
	for _, b := range " \t\r\n\x00\x01:;a1" {
		all = append(all, before+string(b)+after, before+string(b)+text[at:])
	}
	return all
}

// checkAgainstNetHTTP fails if a response is delivered that net/http refuses or reads in a
// different way.
func checkAgainstNetHTTP(t *testing.T, text string) {
	t.Helper()
	status, body, err := receive(text, 0)
	if err != nil {
		return
	}
	wantStatus, wantBody, err := readWithNetHTTP(text)
	if err != nil || status != wantStatus || !bytes.Equal(body, wantBody) {
		t.Errorf("%q: got status %d and body %q; net/http reads %d, %q and error %v", text, status, body, wantStatus, wantBody, err)
	}
}

// readWithNetHTTP reads the final response of a text with net/http, which refuses the empty
// lines that Do skips before a status line.
func readWithNetHTTP(text string) (status int, body []byte, err error) {
	r := bufio.NewReader(strings.NewReader(text))
	for status < http.StatusOK {
		for next, _ := r.Peek(1); string(next) == "\r" || string(next) == "\n"; next, _ = r.Peek(1) {
			_, _ = r.Discard(1)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, nil, fmt.Errorf("read response: %w", err)
		}
		if status = resp.StatusCode; status >= http.StatusOK {
			body, err = io.ReadAll(resp.Body)
			return status, body, err
		}
	}
	return status, nil, nil
}
