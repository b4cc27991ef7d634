package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// dripInterval is the time between the bytes of a response that never gets on, and
	// dripDuration its length. It is longer than callers wait.
	dripInterval = 50 * time.Millisecond
	dripDuration = 10 * time.Second

	eventStreamHeaders = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
)

// sickBehaviour returns a response that is no answer: one without end or one that never
// gets on, of an engine, and of a plain service a head without end or two copies. A
// signed body without end of a plain service is its answer until the node ends it.
func sickBehaviour(rng *rand.Rand, engine bool, id string) platformtest.Behaviour {
	responses := []func(conn net.Conn, head platformtest.RawHead) bool{endlessHead, endlessEvent, dripComments}
	if !engine {
		responses = []func(conn net.Conn, head platformtest.RawHead) bool{
			endlessHead, func(conn net.Conn, head platformtest.RawHead) bool { return answerTwice(conn, head, id) },
		}
	}
	return platformtest.Behaviour{Raw: responses[rng.IntN(len(responses))]}
}

// endlessHead writes header lines until the connection is closed.
func endlessHead(conn net.Conn, head platformtest.RawHead) bool {
	return writeEndlessly(conn, "HTTP/1.1 200 OK\r\n"+string(head), "X-Fill: "+strings.Repeat("x", 1000)+"\r\n")
}

// endlessEvent writes an event without end until the connection is closed.
func endlessEvent(conn net.Conn, head platformtest.RawHead) bool {
	data := strings.Repeat("x", 1000)
	return writeEndlessly(conn, head.Response(eventStreamHeaders, ""), strconv.FormatInt(int64(len(data)), 16)+"\r\n"+data+"\r\n")
}

func writeEndlessly(conn net.Conn, start, part string) bool {
	if _, err := io.WriteString(conn, start); err != nil {
		return false
	}
	for {
		if _, err := io.WriteString(conn, part); err != nil {
			return false
		}
	}
}

// dripComments writes comments, which are no events, from time to time.
func dripComments(conn net.Conn, head platformtest.RawHead) bool {
	start := time.Now()
	_, err := io.WriteString(conn, head.Response(eventStreamHeaders, ""))
	for err == nil && time.Since(start) < dripDuration {
		time.Sleep(dripInterval)
		_, err = io.WriteString(conn, "2\r\n:\n\r\n")
	}
	return false
}

// answerTwice writes a second copy of a response after the first one and keeps the
// connection open.
func answerTwice(conn net.Conn, head platformtest.RawHead, id string) bool {
	body := platformtest.PlainBody(id)
	response := head.Response("Content-Length: "+strconv.Itoa(len(body))+"\r\n", body)
	if _, err := io.WriteString(conn, response); err != nil {
		return false
	}
	time.Sleep(dripInterval)
	_, err := io.WriteString(conn, response)
	return err == nil
}
