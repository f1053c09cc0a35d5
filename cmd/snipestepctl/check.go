package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/snipestep/snipestep/platform"
	"github.com/snipestep/snipestep/platform/documentcheck"
)

const (
	// standardInput names the standard input as a file.
	standardInput = "-"
	// storeInForce makes --against read the version in force from the store.
	storeInForce = "store"
	// maxDocumentBytes bounds a document that is read: a response of the store holds less.
	maxDocumentBytes = 4 << 20
)

// checkCommand needs no server because it reads files, and the store if it is asked to.
type checkCommand struct {
	File    string `arg:"" help:"Document to check, - for standard input."`
	Against string `help:"Also show what differs from the version in force: a file, or store." placeholder:"FILE|store"`
	Store   string `help:"Address of the platform's store (IP:port), for --against store." placeholder:"ADDRESS"`
}

// checkResult is the output of the command.
type checkResult struct {
	Findings    []documentcheck.Finding    `json:"findings"`
	Differences []documentcheck.Difference `json:"differences"`
}

// FindingsError reports a document with findings, which were printed.
type FindingsError struct {
	Count int
}

// Error implements error.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("the document has %d findings", e.Count)
}

// Run prints the findings, and the differences from the version in force. Its errors are
// *UsageError for what cannot be read, and *FindingsError.
func (c *checkCommand) Run(a *app) error {
	data, err := readDocumentFile(c.File)
	if err != nil {
		return &UsageError{Detail: err.Error()}
	}
	if !json.Valid(data) {
		return &UsageError{Detail: c.File + " holds no JSON"}
	}
	inForce, inForceErr := c.documentInForce(a)
	result := checkResult{Findings: []documentcheck.Finding{}, Differences: []documentcheck.Difference{}}
	result.Findings = append(result.Findings, documentcheck.Check(data, inForce)...)
	if document, err := platform.DecodeDocument(data); err == nil && inForce != nil {
		result.Differences = append(result.Differences, documentcheck.Compare(inForce, document)...)
	}
	if err := a.printCheck(result); err != nil {
		return err
	}
	if inForceErr != nil {
		return &UsageError{Detail: "version in force: " + inForceErr.Error()}
	}
	if len(result.Findings) > 0 {
		return &FindingsError{Count: len(result.Findings)}
	}
	return nil
}

// documentInForce returns the version in force, nil if none was asked for.
func (c *checkCommand) documentInForce(a *app) (*platform.DecodedDocument, error) {
	var data []byte
	var err error
	switch {
	case c.Against == "":
		return nil, nil //nolint:nilnil // No version was asked for.
	case c.Against == storeInForce && c.Store == "":
		return nil, fmt.Errorf("--against store needs --store")
	case c.Against == storeInForce:
		ctx, cancel := context.WithTimeout(a.ctx, a.timeout)
		defer cancel()
		data, err = platform.NewStore(c.Store).ReadDocument(ctx)
	default:
		data, err = readDocumentFile(c.Against)
	}
	if err != nil {
		return nil, err
	}
	return platform.DecodeDocument(data)
}

// readDocumentFile reads a document of at most maxDocumentBytes.
func readDocumentFile(name string) ([]byte, error) {
	reader := io.Reader(os.Stdin)
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		reader = file
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err == nil && len(data) > maxDocumentBytes {
		err = fmt.Errorf("the document is larger than %d bytes, which no process can read from the store", maxDocumentBytes)
	}
	return data, err
}

func (a *app) printCheck(result checkResult) error {
	if a.json {
		return a.printJSON(result)
	}
	for _, f := range result.Findings {
		if _, err := fmt.Fprintf(a.out, "%-8s %s: %s (%s)\n", f.Severity, placeOf(f), f.Text, f.Code); err != nil {
			return err
		}
	}
	for _, d := range result.Differences {
		if _, err := fmt.Fprintln(a.out, differenceLine(d)); err != nil {
			return err
		}
	}
	return nil
}

func placeOf(f documentcheck.Finding) string {
	if f.Path == "" {
		return "document"
	}
	return f.Path
}

func differenceLine(d documentcheck.Difference) string {
	line := fmt.Sprintf("%-8s %s", d.Change, d.What)
	if d.Change == documentcheck.Changed {
		line += fmt.Sprintf(": %q -> %q", d.Old, d.New)
	}
	if d.Risk != "" {
		line += " (" + d.Risk + ")"
	}
	return line
}
