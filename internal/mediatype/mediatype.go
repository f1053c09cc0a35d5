package mediatype

import (
	"mime"
	"net/http"
)

// JSON is the media type of JSON.
const JSON = "application/json"

// Is reports whether the Content-Type names the media type want, whatever its
// parameters. It reports false if the Content-Type cannot be parsed.
func Is(header http.Header, want string) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == want
}
