package server

import (
	"io"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/responder"
)

// maxDrainBytes is how much of an oversized body is read and discarded, so that its sender can read the error
// response. A connection with an even larger body is closed.
const maxDrainBytes = 16 << 20

// readBody reads the body into memory. It rejects an oversized body and returns false.
func readBody(c *fasthttp.RequestCtx) bool {
	if !c.Request.IsBodyStream() {
		return true
	}
	stream := c.RequestBodyStream()
	if c.Request.Header.ContentLength() > MaxBodyBytes {
		refuseBody(c, stream)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(stream, MaxBodyBytes+1))
	if err != nil {
		HandleError(c, err)
		return false
	}
	if len(body) > MaxBodyBytes {
		refuseBody(c, stream)
		return false
	}
	c.Request.SetBody(body)
	return true
}

// refuseBody refuses an oversized body. It keeps nothing of what is left of it.
func refuseBody(c *fasthttp.RequestCtx, rest io.Reader) {
	_, _ = io.CopyN(io.Discard, rest, maxDrainBytes)
	responder.Refuse(c, fasthttp.StatusRequestEntityTooLarge, responder.Refused, responder.Problem{
		Code: "body_too_large", Message: "at most 1 MiB", Place: "body", RequestID: string(c.Request.Header.Peek(headerRequestID)),
	}, 0)
}
