package connguard

import "strconv"

// minStatus is the lowest status code (RFC 9110, section 15). net/http takes any number of three
// digits, and one of two digits with a sign.
const minStatus = 100

// checkHead returns *BrokenResponseError for a status code that is none. net/http refuses the other
// malformed ones.
func checkHead(status int) error {
	if status < minStatus {
		return &BrokenResponseError{Kind: BrokenStatus, Detail: strconv.Itoa(status)}
	}
	return nil
}
