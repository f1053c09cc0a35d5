package entry

import (
	"net/http"
	"time"
)

// callerPieceBytes is the size of the pieces in which answers are written, so that a caller that reads
// slowly is told from one that does not read.
const callerPieceBytes = 4 << 10

// callerWriter writes the answer to a call and records what the caller takes.
type callerWriter struct {
	http.ResponseWriter
	call *call
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := w.ResponseWriter.Write(p[written:min(written+callerPieceBytes, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		w.call.recordProgress()
	}
}

// Unwrap returns the writer for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// abort ends a write that blocks. Later ones fail, so that the connection has to be closed.
func (w *callerWriter) abort() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Unix(1, 0))
}
