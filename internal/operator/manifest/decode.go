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

// Limits of the JSON text of a manifest.
const (
	// MaxSize is its largest size in bytes.
	MaxSize = 4 << 20
	// MaxDepth is the deepest nesting of objects and arrays.
	MaxDepth = 16
)

// Decode reads a manifest from JSON of up to limit bytes, and up to MaxSize if
// limit is 0 or above it. Names of fields must match exactly. It fails with
// Findings that list all unknown and duplicate fields and all values of a wrong
// type, or with the error of the reader. A list may be null, as an empty one is
// when a Manifest is written. It doesn't Check the manifest.
func Decode(reader io.Reader, limit int64) (Manifest, error) {
	if limit <= 0 || limit > MaxSize {
		limit = MaxSize
	}
	content, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return Manifest{}, err
	}
	if findings := examine(content, limit); len(findings) > 0 {
		return Manifest{}, findings
	}
	var m Manifest
	if err := json.Unmarshal(content, &m); err != nil {
		return Manifest{}, Findings{{Problem: err.Error(), Fix: "write valid JSON"}}
	}
	return m, nil
}

// examine returns the findings about the text of a manifest.
func examine(content []byte, limit int64) Findings {
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
	s.manifest()
	return findings
}

// scanner follows the tokens of a manifest along the types that they must have.
type scanner struct {
	decoder  *json.Decoder
	findings *Findings
}

// errStop ends a scan whose finding is already recorded.
var errStop = errors.New("the scan ends")

func (s scanner) manifest() {
	if s.value(reflect.TypeFor[Manifest](), "", 0) != nil {
		return
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		s.findings.add("", "remove it", "there is data after the manifest, at byte %d", s.decoder.InputOffset())
	}
}

// value scans a value. A nil type stands for an unknown field, in which only
// syntax, depth and duplicate fields are checked.
func (s scanner) value(want reflect.Type, place string, depth int) error {
	token, err := s.token(place)
	if err != nil {
		return err
	}
	delim, nested := token.(json.Delim)
	if !nested {
		s.scalar(want, place, token)
		return nil
	}
	if depth == MaxDepth {
		s.findings.add(place, "flatten it", "the nesting is deeper than %d", MaxDepth)
		return errStop
	}
	if delim == '{' {
		return s.object(s.container(want, reflect.Struct, place), place, depth+1)
	}
	return s.array(s.container(want, reflect.Slice, place), place, depth+1)
}

func (s scanner) token(place string) (json.Token, error) {
	if s.findings.full() {
		return nil, errStop
	}
	token, err := s.decoder.Token()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		s.findings.add(place, "write valid JSON", "at byte %d: %v", s.decoder.InputOffset(), err)
		return nil, errStop
	}
	return token, nil
}

// container returns the type if it has the kind, and nil after a finding if not.
func (s scanner) container(want reflect.Type, kind reflect.Kind, place string) reflect.Type {
	if want == nil || want.Kind() == kind {
		return want
	}
	s.findings.add(place, "write "+describe(want), "the value has the wrong type")
	return nil
}

func (s scanner) object(want reflect.Type, place string, depth int) error {
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.token(place)
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			s.findings.add(place, "write valid JSON", "the name of a field is not a string")
			return errStop
		}
		field := join(place, name)
		if seen[name] {
			s.findings.add(field, "keep one of them", "the field is given twice")
		}
		seen[name] = true
		if err := s.value(s.field(want, name, field), field, depth); err != nil {
			return err
		}
	}
	_, err := s.token(place)
	return err
}

func (s scanner) field(want reflect.Type, name, place string) reflect.Type {
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

func (s scanner) array(want reflect.Type, place string, depth int) error {
	var element reflect.Type
	if want != nil {
		element = want.Elem()
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.value(element, index(place, i), depth); err != nil {
			return err
		}
	}
	_, err := s.token(place)
	return err
}

func (s scanner) scalar(want reflect.Type, place string, token json.Token) {
	if want == nil || (token == nil && want.Kind() == reflect.Slice) {
		return
	}
	text, err := json.Marshal(token)
	if err == nil && token != nil {
		err = json.Unmarshal(text, reflect.New(want).Interface())
	}
	if err != nil || token == nil {
		s.findings.add(place, "write "+describe(want), "%s is not a valid value", shorten(string(text)))
	}
}

// describe tells how a value of a type is written.
func describe(want reflect.Type) string {
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

func join(place, name string) string {
	if place == "" {
		return shorten(name)
	}
	return place + "." + shorten(name)
}

func index(place string, i int) string {
	return fmt.Sprintf("%s[%d]", place, i)
}
