package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"
	"unicode"

	"pomelodoor.example/pomelodoor/config"
)

// documentsTimeout limits the transfer of all documents of a daemon: the largest routes
// document takes 13 s over a link of 10 Mbit/s.
const documentsTimeout = time.Minute

// daemonScheme distinguishes the admin address of a daemon from a path in --against.
const daemonScheme = "http://"

var (
	errTruncated   = errors.New("incomplete list of documents")
	errNoDocuments = errors.New("directory has no .json files")
)

// documentsPage is the JSON that a daemon's admin port returns for /documents.
type documentsPage struct {
	Documents []struct {
		Key      string          `json:"key"`
		Document json.RawMessage `json:"document"`
	} `json:"documents"`
}

// documentsInForce returns the documents of a file, a directory or a daemon; none for "".
func documentsInForce(source string) ([]config.Document, error) {
	if source == "" {
		return nil, nil
	}
	var documents []config.Document
	var err error
	if address, ok := strings.CutPrefix(source, daemonScheme); ok {
		documents, err = queryDocuments(strings.TrimSuffix(address, "/"))
	} else {
		documents, err = readDocuments(source)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: --against: %w", errCheck, err)
	}
	return documents, nil
}

// readDocuments returns the documents of a file or a directory.
func readDocuments(path string) ([]config.Document, error) {
	files, err := documentFiles(path)
	if err != nil {
		return nil, err
	}
	var documents []config.Document
	for _, file := range files {
		d, err := readDocument(file)
		if err != nil {
			return nil, err
		}
		documents = append(documents, d)
	}
	return documents, nil
}

// queryDocuments returns the documents in force at a daemon.
func queryDocuments(address string) ([]config.Document, error) {
	var page documentsPage
	if err := getJSONWithin(address, "/documents", documentsTimeout, &page); err != nil {
		return nil, err
	}
	if page.Documents == nil {
		return nil, fmt.Errorf("query %s: %w", address, errTruncated)
	}
	var documents []config.Document
	for _, entry := range page.Documents {
		d, err := config.ParseKey(address+"/"+entry.Key, entry.Key, entry.Document)
		if err != nil {
			return nil, fmt.Errorf("parse document of %s: %w", address, err)
		}
		documents = append(documents, d)
	}
	return documents, nil
}

// documentFiles returns the files with the suffix .json in a directory, at any depth, or a
// file itself.
func documentFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read documents: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(file) == ".json" {
			files = append(files, file)
		}
		return err
	})
	if err == nil && len(files) == 0 {
		// A mistyped directory must not pass for one without faults.
		err = errNoDocuments
	}
	if err != nil {
		return nil, fmt.Errorf("read documents: %w", err)
	}
	return files, nil
}

// printLine prints a line, with control characters of names in documents replaced.
func printLine(out io.Writer, text string) {
	text = strings.Map(func(c rune) rune {
		if unicode.IsControl(c) {
			return unicode.ReplacementChar
		}
		return c
	}, text)
	_, _ = fmt.Fprintln(out, text)
}
