package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"unicode/utf8"
)

// Limits of the JSON encoding of a manifest.
const (
	// MaxSize is the maximum size in bytes.
	MaxSize = 4 << 20
	// MaxDepth is the maximum nesting depth of objects and arrays.
	MaxDepth = 16
)

// Decode decodes a manifest from JSON of up to limit bytes. A limit of 0 or above MaxSize
// means MaxSize. Field names are case-sensitive. A list may be null, because a nil list is
// encoded as null. Decode fails with Findings that list all unknown and duplicate fields
// and all values of a wrong type, or with the error of the reader. It doesn't call Check.
func Decode(reader io.Reader, limit int64) (Manifest, error) {
	if limit <= 0 || limit > MaxSize {
		limit = MaxSize
	}
	content, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return Manifest{}, err
	}
	if findings := checkText(content, limit); len(findings) > 0 {
		return Manifest{}, findings
	}
	var m Manifest
	if err := json.Unmarshal(content, &m); err != nil {
		return Manifest{}, Findings{{Problem: err.Error(), Fix: "write valid JSON"}}
	}
	return m, nil
}

// checkText returns the findings about the JSON encoding of a manifest.
func checkText(content []byte, limit int64) Findings {
	var findings Findings
	if int64(len(content)) > limit {
		findings.add("", "split or shorten it", "the manifest is larger than %d bytes", limit)
		return findings
	}
	if !utf8.Valid(content) {
		findings.add("", "encode it in UTF-8", "the manifest is not valid UTF-8")
		return findings
	}
	s := scanner{decoder: json.NewDecoder(bytes.NewReader(content)), findings: &findings}
	s.decoder.UseNumber()
	s.scanManifest()
	return findings
}

// scanner compares the JSON tokens of a manifest with the Go types that they must match.
type scanner struct {
	decoder  *json.Decoder
	findings *Findings
}

// errScanStopped stops a scan. The finding that is the reason is already recorded.
var errScanStopped = errors.New("manifest: scan stopped after a finding")

func (s scanner) scanManifest() {
	if s.scanValue(reflect.TypeFor[Manifest](), "", 0) != nil {
		return
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		s.findings.add("", "remove it", "there is data after the manifest, at byte %d", s.decoder.InputOffset())
	}
}

// scanValue scans a value, which must have the type want. If want is nil, the value is in
// an unknown field, and only syntax, depth and duplicate fields are checked.
func (s scanner) scanValue(want reflect.Type, place string, depth int) error {
	token, err := s.nextToken(place)
	if err != nil {
		return err
	}
	delimiter, nested := token.(json.Delim)
	if !nested {
		s.checkScalar(want, place, token)
		return nil
	}
	if depth == MaxDepth {
		s.findings.add(place, "flatten it", "the nesting is deeper than %d", MaxDepth)
		return errScanStopped
	}
	if delimiter == '{' {
		return s.scanObject(s.checkContainer(want, reflect.Struct, place), place, depth+1)
	}
	return s.scanArray(s.checkContainer(want, reflect.Slice, place), place, depth+1)
}

// nextToken returns the next JSON token. It adds a finding if the JSON is malformed.
func (s scanner) nextToken(place string) (json.Token, error) {
	if s.findings.full() {
		return nil, errScanStopped
	}
	token, err := s.decoder.Token()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		s.findings.add(place, "write valid JSON", "at byte %d: %v", s.decoder.InputOffset(), err)
		return nil, errScanStopped
	}
	return token, nil
}

// checkContainer returns the type if it has the kind of the value. Otherwise it adds a
// finding and returns nil.
func (s scanner) checkContainer(want reflect.Type, kind reflect.Kind, place string) reflect.Type {
	if want == nil || want.Kind() == kind {
		return want
	}
	s.findings.add(place, "write "+describeType(want), "the value has the wrong type")
	return nil
}

// scanObject scans an object after its opening brace.
func (s scanner) scanObject(want reflect.Type, place string, depth int) error {
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.nextToken(place)
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			s.findings.add(place, "write valid JSON", "the name of a field is not a string")
			return errScanStopped
		}
		field := joinPlace(place, name)
		if seen[name] {
			s.findings.add(field, "keep one of them", "the field is given twice")
		}
		seen[name] = true
		if err := s.scanValue(s.fieldType(want, name, field), field, depth); err != nil {
			return err
		}
	}
	_, err := s.nextToken(place)
	return err
}

// fieldType returns the type of a field of an object. If the field is unknown, it adds a
// finding and returns nil.
func (s scanner) fieldType(want reflect.Type, name, place string) reflect.Type {
	if want == nil {
		return nil
	}
	field, ok := want.FieldByName(name)
	if !ok {
		s.findings.add(place, "remove it or correct its name", "the field is unknown")
		return nil
	}
	return field.Type
}

// scanArray scans an array after its opening bracket.
func (s scanner) scanArray(want reflect.Type, place string, depth int) error {
	var element reflect.Type
	if want != nil {
		element = want.Elem()
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.scanValue(element, indexPlace(place, i), depth); err != nil {
			return err
		}
	}
	_, err := s.nextToken(place)
	return err
}

// checkScalar adds a finding if a token that is no object or array can't be decoded into
// the type.
func (s scanner) checkScalar(want reflect.Type, place string, token json.Token) {
	if want == nil || (token == nil && want.Kind() == reflect.Slice) {
		return
	}
	text, err := json.Marshal(token)
	if err == nil && token != nil {
		err = json.Unmarshal(text, reflect.New(want).Interface())
	}
	if err != nil || token == nil {
		s.findings.add(place, "write "+describeType(want), "%s is not a valid value", shorten(string(text)))
	}
}

// describeType returns a description of the JSON values of a type.
func describeType(want reflect.Type) string {
	if want == reflect.TypeFor[Duration]() {
		return `a duration such as "1.5s"`
	}
	switch want.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func joinPlace(place, name string) string {
	if place == "" {
		return shorten(name)
	}
	return place + "." + shorten(name)
}

func indexPlace(place string, i int) string {
	return fmt.Sprintf("%s[%d]", place, i)
}
