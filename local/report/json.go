package report

import (
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// StandardOutput is the file name that selects standard output.
const StandardOutput = "-"

// filePermission makes a report readable by every user.
const filePermission = 0o644

// WriteJSON writes the report to a file, or to stdout for StandardOutput.
func (r *Report) WriteJSON(path string, stdout io.Writer) error {
	return WriteJSON(path, r, stdout)
}

// WriteJSON writes any value like Report.WriteJSON.
func WriteJSON(path string, value any, stdout io.Writer) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the report")
	}
	data = append(data, '\n')
	if path == StandardOutput {
		_, err = stdout.Write(data)
		return eris.Wrap(err, "write the report")
	}
	return eris.Wrap(os.WriteFile(path, data, filePermission), "write the report")
}
