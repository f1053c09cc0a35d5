// Package mediatype checks the media type of an HTTP body.
package mediatype
