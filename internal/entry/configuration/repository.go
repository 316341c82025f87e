package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// HeadKey is the row that names the newest accepted manifest.
const HeadKey table.Key = "manifest/head"

// ErrSuperseded reports that another publisher's manifest was accepted first.
var ErrSuperseded = errors.New("another manifest was published first")

// Head is the content of the row HeadKey.
type Head struct {
	Version manifest.Version
	Author  string
}

// Repository reads and writes manifests in the table.
type Repository struct {
	Store table.Store
	Clock clockwork.Clock
}

func bodyKey(v manifest.Version) table.Key {
	return table.Key("manifest/body/" + strconv.FormatUint(uint64(v), 10))
}

// DecodeHead returns the content of a row read under HeadKey. An absent row gives
// the zero Head.
func DecodeHead(row table.Row) (Head, error) {
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return head, nil
}

// Head returns the newest accepted version, 0 if there is none.
func (r Repository) Head(ctx context.Context) (Head, table.Version, error) {
	rows, err := r.Store.Read(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, fmt.Errorf("read the manifest head: %w", err)
	}
	head, err := DecodeHead(rows[0])
	return head, rows[0].Version, err
}

// Load returns an accepted manifest.
func (r Repository) Load(ctx context.Context, v manifest.Version) (manifest.Published, error) {
	rows, err := r.Store.Read(ctx, bodyKey(v))
	if err != nil {
		return manifest.Published{}, fmt.Errorf("read manifest version %d: %w", v, err)
	}
	if rows[0].Version == 0 {
		return manifest.Published{}, fmt.Errorf("manifest version %d is not in the table", v)
	}
	published := manifest.Published{Version: v}
	if err := json.Unmarshal(rows[0].Value, &published.Manifest); err != nil {
		return manifest.Published{}, fmt.Errorf("manifest version %d: %w", v, err)
	}
	return published, nil
}

// Publish accepts a manifest as the version after base. It fails with
// ErrSuperseded if base is no longer the newest version; the error names the
// winner. It fails with manifest.Findings if the manifest can't follow base. A lost
// answer of the table is resolved before Publish returns.
func (r Repository) Publish(ctx context.Context, m manifest.Manifest, base manifest.Version, author string) (manifest.Published, error) {
	head, headVersion, err := r.Head(ctx)
	if err != nil {
		return manifest.Published{}, err
	}
	if head.Version != base {
		return manifest.Published{}, superseded(base, head)
	}
	if err := r.checkSuccessor(ctx, m, base); err != nil {
		return manifest.Published{}, err
	}
	published := manifest.Published{Version: base + 1, Manifest: m}
	tx, err := publication(published, author, headVersion)
	if err != nil {
		return manifest.Published{}, err
	}
	_, err = table.CommitResolved(ctx, r.Store, r.Clock, tx)
	if errors.Is(err, table.ErrConflict) {
		winner, _, headErr := r.Head(ctx)
		if headErr != nil {
			return manifest.Published{}, fmt.Errorf("%w: version %d", ErrSuperseded, base+1)
		}
		return manifest.Published{}, superseded(base, winner)
	}
	if err != nil {
		return manifest.Published{}, fmt.Errorf("publish manifest version %d: %w", published.Version, err)
	}
	return published, nil
}

// checkSuccessor refuses what must not change between versions. The publication is
// conditional on base being the newest version, so no other version comes between.
func (r Repository) checkSuccessor(ctx context.Context, m manifest.Manifest, base manifest.Version) error {
	if base == 0 {
		return nil
	}
	previous, err := r.Load(ctx, base)
	if err != nil {
		return err
	}
	// Workers and jobs are assigned to shards by this number. During a change two
	// owners could place tasks on one worker, and queued jobs would have no owner.
	before, after := previous.Manifest.Limits.ShardsPerZone, m.Limits.ShardsPerZone
	if before == after {
		return nil
	}
	return manifest.Findings{{
		Place:   "Limits.ShardsPerZone",
		Problem: fmt.Sprintf("%d differs from %d of version %d; workers and jobs are assigned to shards by this number", after, before, base),
		Fix:     fmt.Sprintf("keep %d", before),
	}}
}

func publication(p manifest.Published, author string, headVersion table.Version) (table.Transaction, error) {
	body, err := json.Marshal(p.Manifest)
	if err != nil {
		return table.Transaction{}, fmt.Errorf("encode the manifest: %w", err)
	}
	head, err := json.Marshal(Head{Version: p.Version, Author: author})
	if err != nil {
		return table.Transaction{}, fmt.Errorf("encode the manifest head: %w", err)
	}
	return table.Transaction{
		ID: table.TransactionID(uuid.NewString()),
		Conditions: []table.Condition{
			{Key: HeadKey, Version: headVersion},
			{Key: bodyKey(p.Version)},
		},
		Writes: []table.Write{
			{Key: HeadKey, Value: head},
			{Key: bodyKey(p.Version), Value: body},
		},
	}, nil
}

func superseded(base manifest.Version, winner Head) error {
	return fmt.Errorf("%w: version %d by %q replaced version %d; check your change against it and publish again",
		ErrSuperseded, winner.Version, winner.Author, base)
}
