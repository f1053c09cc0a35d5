// Package connguard tells which bytes on the connections of net/http are the response to a request.
//
// It keeps responses apart on kept-alive connections. Bytes that follow a complete response belong
// to no request, but net/http takes them for the response to the next request that gets the
// connection before they are noticed.
//
// The connections of Wrap look for such bytes before a request is written, and a Progress
// tells whether a request that failed may have been sent. A response that belongs to another
// request shows that the two sides disagree on which request comes next: Progress.Retire
// then keeps the connection from carrying any further request.
//
// The end of such a connection is the end of a response that has neither a length nor chunks. It
// counts as one only if the connection ended in order after the request was written whole; a
// response with a length or chunks is complete by them, at any time.
//
// A Transport tells a connection how long the request is, and takes no response whose status, field
// names or trailer are malformed. No other request is written on a connection before the response
// was checked.
//
// A connection whose request was cancelled before its response was read whole is reset, so that the
// server can tell the request from a finished one and gets nothing of it later. Any other connection
// ends in order.
//
// An ID in a response tells to which request it belongs, unless the server wrote the response to
// an earlier attempt of the same request once more. So a connection carries a request at most
// once: see Exchanges.
package connguard
