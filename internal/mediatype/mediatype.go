package mediatype

import (
	"mime"
	"net/http"
)

// JSON is the media type of JSON.
const JSON = "application/json"

// Is reports whether a header names the wanted media type, with any
// parameters. A header that does not parse names none.
func Is(header http.Header, want string) bool {
	media, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && media == want
}
