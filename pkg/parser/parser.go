// Package parser reads operators' files. Each file declares one service in JSON
// with comments.
//
// A file that is malformed, too large or invalid is rejected with an error that
// gives the file's name, the line if it is known, and the reason.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("parser")

// Limits of one operator file.
const (
	// MaxFileBytes is the maximum size of a file in bytes.
	MaxFileBytes = 64 << 10
	// MaxRoutes is the maximum number of routes in a service.
	MaxRoutes = 64
	// MaxVersions is the maximum number of versions in a service.
	MaxVersions = 16
)

// FileError reports an error in an operator file.
type FileError struct {
	File string
	// Line counts from 1. It is 0 if the line is unknown or the error concerns
	// the whole file.
	Line   int
	Reason string
}

// Error returns "file:line: reason", or "file: reason" without a line.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Parse decodes and checks one operator file. The name is used only in errors.
// It returns a *FileError if the file is rejected.
func Parse(name string, data []byte) (Service, error) {
	var s Service
	if err := Decode(name, data, MaxFileBytes, &s); err != nil {
		return Service{}, err
	}
	if err := s.Check(); err != nil {
		return Service{}, &FileError{File: name, Line: ruleErrorLine(data, err), Reason: err.Error()}
	}
	return s, nil
}

// Decode decodes JSON with comments into v. It rejects unknown keys, trailing
// values and data of more than limit bytes with a *FileError. It also
// decodes the daemon's settings.
func Decode(name string, data []byte, limit int, v any) error {
	if len(data) > limit {
		return &FileError{File: name, Reason: fmt.Sprintf("%d bytes, over the limit of %d", len(data), limit)}
	}
	standardJSON, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &FileError{File: name, Line: syntaxErrorLine(err), Reason: err.Error()}
	}
	d := json.NewDecoder(bytes.NewReader(standardJSON))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &FileError{File: name, Line: decodeErrorLine(standardJSON, d, err), Reason: err.Error()}
	}
	if d.More() {
		return &FileError{File: name, Line: lineAt(standardJSON, d.InputOffset()), Reason: "unexpected value after the first one"}
	}
	return nil
}

// decodeErrorLine returns the line of an error of encoding/json.
func decodeErrorLine(standardJSON []byte, d *json.Decoder, err error) int {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return lineAt(standardJSON, syntaxErr.Offset)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return lineAt(standardJSON, typeErr.Offset)
	}
	if _, field, ok := strings.Cut(err.Error(), "unknown field "); ok {
		if i := bytes.Index(standardJSON, []byte(field)); i >= 0 {
			return lineAt(standardJSON, int64(i))
		}
	}
	return lineAt(standardJSON, d.InputOffset())
}

// lineAt returns the line of a byte offset, counted from 1.
func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte{'\n'})
}

// syntaxErrorLine returns the line in the text of an error of hujson, or 0.
func syntaxErrorLine(err error) int {
	var line int
	_, rest, _ := strings.Cut(err.Error(), "line ")
	if _, scanErr := fmt.Sscanf(rest, "%d", &line); scanErr != nil {
		return 0
	}
	return line
}

// ruleErrorLine returns the line of the first occurrence of a RuleError's key or
// value, or 0.
func ruleErrorLine(data []byte, err error) int {
	var ruleErr *RuleError
	if !errors.As(err, &ruleErr) {
		return 0
	}
	if i := bytes.Index(data, []byte(`"`+ruleErr.Token+`"`)); i >= 0 {
		return lineAt(data, int64(i))
	}
	return 0
}

// Source is a service and the path of the file that declares it.
type Source struct {
	Path    string
	Service Service
}

// Collect reads all operator files (NAME.json, NAME.jsonc) below the folders and
// returns the services sorted by name. The error combines the errors of all
// files.
func Collect(folders ...string) ([]Service, error) {
	sources, err := CollectSources(folders...)
	services := make([]Service, 0, len(sources))
	for _, src := range sources {
		services = append(services, src.Service)
	}
	return services, err
}

// CollectSources is like Collect, but also returns each service's file.
func CollectSources(folders ...string) ([]Source, error) {
	var sources []Source
	var group errs.Group
	pathByName := map[string]string{}
	for _, path := range findFiles(folders, &group) {
		data, err := os.ReadFile(path)
		if err != nil {
			group.Add(Class.Wrap(err))
			continue
		}
		s, err := Parse(path, data)
		if err != nil {
			group.Add(err)
			continue
		}
		if firstPath, declared := pathByName[s.Name]; declared {
			group.Add(&FileError{File: path, Line: ruleErrorLine(data, &RuleError{Token: s.Name}), Reason: fmt.Sprintf("service %q is already declared in %s", s.Name, firstPath)})
			continue
		}
		pathByName[s.Name] = path
		sources = append(sources, Source{
			Path:    path,
			Service: s,
		})
	}
	sort.Slice(sources, func(i, j int) bool { return sources[i].Service.Name < sources[j].Service.Name })
	return sources, group.Err()
}

// findFiles returns the paths of the operator files below the folders. It adds
// errors to the group.
func findFiles(folders []string, group *errs.Group) []string {
	var paths []string
	for _, folder := range folders {
		err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			ext := filepath.Ext(path)
			if d.Type().IsRegular() && (ext == ".json" || ext == ".jsonc") {
				paths = append(paths, path)
			}
			return nil
		})
		group.Add(Class.Wrap(err))
	}
	return paths
}
