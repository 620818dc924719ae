package spread

import (
	"encoding/json"
	"fmt"
	"strings"

	"pomelodoor.example/pomelodoor/membership"
)

// RecordPrefix begins the key of each membership record.
const RecordPrefix = "instances/"

// RecordItem returns the item that carries a membership record.
func RecordItem(r membership.Record) (Item, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Item{}, fmt.Errorf("encode the record of %q: %w", r.ID, err)
	}
	item := Item{Key: RecordPrefix + r.ID, Body: body, Tombstone: r.State == membership.Gone}
	item.Version.Major, item.Version.Minor = r.Version()
	return item, nil
}

// IsRecord reports whether an item is a membership record.
func (i Item) IsRecord() bool { return strings.HasPrefix(i.Key, RecordPrefix) }

// Record returns the membership record that an item carries.
func (i Item) Record() (membership.Record, error) {
	var r membership.Record
	if err := json.Unmarshal(i.Body, &r); err != nil {
		return membership.Record{}, fmt.Errorf("decode the record in item %q: %w", i.Key, err)
	}
	return r, nil
}
