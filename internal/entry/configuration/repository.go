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

// HeadKey is the key of the row that identifies the newest published manifest.
const HeadKey table.Key = "manifest/head"

// ErrSuperseded is returned when another publisher has published a manifest first.
var ErrSuperseded = errors.New("another manifest was published first")

// Head is the content of the row HeadKey.
type Head struct {
	Version manifest.Version
	Author  string
}

// Repository loads manifests from the table and publishes new ones to it.
type Repository struct {
	Store table.Store
	Clock clockwork.Clock
}

func bodyKey(v manifest.Version) table.Key {
	return table.Key("manifest/body/" + strconv.FormatUint(uint64(v), 10))
}

// DecodeHead decodes a row that was read under HeadKey. It returns the zero Head for an
// absent row.
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

// Head returns the head row and its table version. Head.Version is 0 if no manifest has
// been published.
func (r Repository) Head(ctx context.Context) (Head, table.Version, error) {
	rows, err := r.Store.Read(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, fmt.Errorf("read the manifest head: %w", err)
	}
	head, err := DecodeHead(rows[0])
	return head, rows[0].Version, err
}

// Load returns a published manifest.
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

// Publish publishes a manifest as the version after base. It fails with ErrSuperseded if
// base is no longer the newest version; the error names the newest version and its author.
// It fails with manifest.Findings if the manifest is not a valid successor of base. If the
// response of the table is lost, Publish looks up the outcome before it returns.
func (r Repository) Publish(ctx context.Context, m manifest.Manifest, base manifest.Version, author string) (manifest.Published, error) {
	head, headVersion, err := r.Head(ctx)
	if err != nil {
		return manifest.Published{}, err
	}
	if head.Version != base {
		return manifest.Published{}, supersededError(base, head)
	}
	if err := r.checkSuccessor(ctx, m, base); err != nil {
		return manifest.Published{}, err
	}
	published := manifest.Published{Version: base + 1, Manifest: m}
	tx, err := publishTransaction(published, author, headVersion)
	if err != nil {
		return manifest.Published{}, err
	}
	_, err = table.CommitResolved(ctx, r.Store, r.Clock, tx)
	if errors.Is(err, table.ErrConflict) {
		newest, _, headErr := r.Head(ctx)
		if headErr != nil {
			return manifest.Published{}, fmt.Errorf("%w: version %d", ErrSuperseded, base+1)
		}
		return manifest.Published{}, supersededError(base, newest)
	}
	if err != nil {
		return manifest.Published{}, fmt.Errorf("publish manifest version %d: %w", published.Version, err)
	}
	return published, nil
}

// checkSuccessor rejects changes from base that are not allowed between versions. The
// publishing transaction is conditional on base being the newest version, so no other
// version can come in between.
func (r Repository) checkSuccessor(ctx context.Context, m manifest.Manifest, base manifest.Version) error {
	if base == 0 {
		return nil
	}
	previous, err := r.Load(ctx, base)
	if err != nil {
		return err
	}
	// The number of shards determines the shard of each worker and job. While it changes,
	// two owners could place tasks on the same worker, and queued jobs would have no owner.
	previousShards, newShards := previous.Manifest.Limits.ShardsPerZone, m.Limits.ShardsPerZone
	if previousShards == newShards {
		return nil
	}
	return manifest.Findings{{
		Place:   "Limits.ShardsPerZone",
		Problem: fmt.Sprintf("%d differs from %d of version %d; workers and jobs are assigned to shards by this number", newShards, previousShards, base),
		Fix:     fmt.Sprintf("keep %d", previousShards),
	}}
}

func publishTransaction(p manifest.Published, author string, headVersion table.Version) (table.Transaction, error) {
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

func supersededError(base manifest.Version, newest Head) error {
	return fmt.Errorf("%w: version %d by %q replaced version %d; check your change against it and publish again",
		ErrSuperseded, newest.Version, newest.Author, base)
}
