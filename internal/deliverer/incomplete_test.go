package deliverer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// uploadBytes is more than the socket buffers hold.
const uploadBytes = 32 << 20

// uploadTo sends an upload to a target that reads the head of each request and passes the
// connection to respond.
func uploadTo(t *testing.T, respond func(conn *net.TCPConn, r *http.Request)) (*carrier.TargetResponse, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	h := newHarness(t, func(net.Conn, *http.Request, int32) bool { return false })
	h.Target = ln.Addr().String()
	return h.Deliver(context.Background(), &carrier.Attempt{
		ID:        "id-1",
		Instance:  "i-1",
		Rule:      "upload",
		Deadline:  time.Now().Add(20 * time.Second),
		Objective: time.Now().Add(20 * time.Second),
		Method:    http.MethodPost,
		URI:       "/upload",
		Host:      "a.example",
		Header:    http.Header{"X-Attempt-Id": {"id-1"}},
		Body:      allocator.Body{bytes.Repeat([]byte("x"), uploadBytes)},
	})
}

// TestResponseThatBreaksOffDuringUpload guards against a part of a response that is taken for
// the whole one: the target answers before it has read the request's body, without a length,
// and resets the connection.
func TestResponseThatBreaksOffDuringUpload(t *testing.T) {
	for name, proto := range map[string]string{"HTTP/1.1": "HTTP/1.1 ", "HTTP/1.0": "HTTP/1.0 "} {
		for part, body := range map[string]string{"no byte": "", "some bytes": "the first part"} {
			for end, reset := range map[string]bool{"reset": true, "closed with bytes unread": false} {
				t.Run(name+", "+part+", "+end, func(t *testing.T) {
					for range 20 {
						resp, err := uploadTo(t, func(conn *net.TCPConn, r *http.Request) {
							head := responseHead(r, "200 OK", "Connection: close\r\n")
							_, _ = io.WriteString(conn, proto+head[len("HTTP/1.1 "):]+body)
							time.Sleep(20 * time.Millisecond)
							if reset {
								_ = conn.SetLinger(0)
							}
						})
						if err == nil {
							t.Fatalf("got the response %d %q, want an error", resp.Status, resp.Body)
						}
						if classifier.VerdictOf(err) == classifier.NotRun {
							t.Fatalf("got the error %v with the verdict NotRun", err)
						}
					}
				})
			}
		}
	}
}

// TestResponseThatEndsDuringUpload checks that a response without a length is complete when
// the target has ended it in order, although it has not read the body.
func TestResponseThatEndsDuringUpload(t *testing.T) {
	resp, err := uploadTo(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Connection: close\r\n")+"all of it")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
	if err != nil || string(resp.Body) != "all of it" {
		t.Errorf("got the response %+v, error %v; want all of it", resp, err)
	}
}

// TestResponseWithoutValidStatus guards against bytes that are no response in the protocol
// and are passed on to the client.
func TestResponseWithoutValidStatus(t *testing.T) {
	for name, test := range map[string]struct {
		statusLine, headers string
		ok                  bool
	}{
		"000":                   {statusLine: "000 Broken"},
		"000 not run":           {statusLine: "000 Broken", headers: "X-Not-Executed: 1\r\n"},
		"099":                   {statusLine: "099 Broken"},
		"600":                   {statusLine: "600 Broken"},
		"999":                   {statusLine: "999 Broken"},
		"two digits":            {statusLine: "20 OK"},
		"four digits":           {statusLine: "2000 OK"},
		"negative":              {statusLine: "-20 OK"},
		"1xx at the end":        {statusLine: "101 Switching Protocols"},
		"two lengths":           {statusLine: "200 OK", headers: "Content-Length: 3\r\n"},
		"length and chunks":     {statusLine: "200 OK", headers: "Transfer-Encoding: chunked\r\n"},
		"unknown coding":        {statusLine: "200 OK", headers: "Transfer-Encoding: squeezed\r\n"},
		"missing reason":        {statusLine: "200", ok: true},
		"empty reason":          {statusLine: "200 ", ok: true},
		"failure of the target": {statusLine: "500 Internal Server Error", ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(conn net.Conn, r *http.Request, _ int32) bool {
				_, _ = io.WriteString(conn, responseHead(r, test.statusLine, "Content-Length: 5\r\n"+test.headers)+"whole")
				return false
			})
			resp, err := h.deliver("id-1")
			switch {
			case test.ok && (err != nil || string(resp.Body) != "whole"):
				t.Errorf("got the response %+v, error %v; want the target's response", resp, err)
			case !test.ok && err == nil:
				t.Errorf("got the response %d %q, want an error", resp.Status, resp.Body)
			case !test.ok && classifier.VerdictOf(err) == classifier.NotRun:
				t.Errorf("got the error %v with the verdict NotRun", err)
			}
		})
	}
}

// FuzzTargetResponse checks that no response is called whole that isn't: a response of the
// fuzzed status and body, cut off after some bytes, is an error, and a whole one has the body
// that was sent. A response without a length is not cut, as its end can't be told.
func FuzzTargetResponse(f *testing.F) {
	f.Add(uint16(200), []byte("whole"), false, uint16(0))
	f.Add(uint16(200), []byte("whole"), true, uint16(0))
	f.Add(uint16(200), []byte("whole"), false, uint16(1))
	f.Add(uint16(500), []byte("HTTP/1.1 200 OK\r\n\r\n"), true, uint16(7))
	f.Add(uint16(0), []byte("\r\n0\r\n\r\n"), true, uint16(2))
	f.Add(uint16(204), []byte(""), false, uint16(300))
	var response []byte
	h := newHarness(f, func(conn net.Conn, _ *http.Request, _ int32) bool {
		_, _ = conn.Write(response)
		return false
	})
	f.Fuzz(func(t *testing.T, status uint16, body []byte, chunked bool, cut uint16) {
		hasBody := status != http.StatusNoContent && status != http.StatusNotModified && status >= 200
		if !hasBody && len(body) > 0 || len(body) > 4<<10 || status == http.StatusMisdirectedRequest {
			t.Skip("no response of this status and body, or a refusal")
		}
		head := fmt.Sprintf("HTTP/1.1 %03d x\r\nConnection: close\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n", status)
		switch {
		case !hasBody:
			response = []byte(head + "\r\n")
		case chunked:
			chunk := ""
			if len(body) > 0 {
				chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			response = []byte(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n")
		default:
			response = fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		whole := int(cut) == 0
		response = response[:max(0, len(response)-int(cut))]
		h.Gate.SetTarget(admitter.Target{Instance: "i-0"}) // resets the breaker
		h.Gate.SetTarget(admitter.Target{Instance: "i-1", Slots: 4, ColdRate: 5})
		resp, err := h.deliver("id-1")
		switch {
		case err != nil && classifier.VerdictOf(err) == classifier.NotRun:
			t.Errorf("%q: got the error %v with the verdict NotRun", response, err)
		case err == nil && !whole:
			t.Errorf("%q, cut by %d bytes: got the response %d %q, want an error", response, cut, resp.Status, resp.Body)
		case err == nil && (status < 200 || status > 599 || resp.Status != int(status) || !bytes.Equal(resp.Body, body)):
			t.Errorf("%q: got the response %d %q", response, resp.Status, resp.Body)
		case err != nil && whole && status >= 200 && status <= 599:
			t.Errorf("%q: got the error %v, want the response", response, err)
		}
	})
}
